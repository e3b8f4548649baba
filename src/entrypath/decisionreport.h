#ifndef BERGAMOT_ENTRYPATH_DECISIONREPORT_H
#define BERGAMOT_ENTRYPATH_DECISIONREPORT_H

#include "adaptertcp/asynchttpserver.h"
#include "entrypath/entry.h"

#include <string_view>

namespace bergamot::entrypath {

/// Returns whether the target of a request, that is, its path and query, asks
/// for a report on a decision.
bool asksForDecision(std::string_view target);

/// Responds to `GET /explain?host=HOST&path=PATH&account=NAME&service=NAME`
/// with a JSON report on where the entry would send such a request now, and
/// why. The values are percent-encoded; account and service are optional.
/// Nothing is sent and no state of the entry changes. Errors have a JSON body
/// {"error": "..."}: 400 for missing or malformed parameters, 404 if the
/// configuration has no such route, account or service, 503 without a
/// configuration.
adaptertcp::AsyncHttpServer::Response reportDecision(const Entry &entry,
                                                     std::string_view target);

} // namespace bergamot::entrypath

#endif
