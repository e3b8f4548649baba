#ifndef BERGAMOT_ADAPTERHTTP_HTTPCLIENTERROR_H
#define BERGAMOT_ADAPTERHTTP_HTTPCLIENTERROR_H

#include "libbergamotbase/error.h"

#include <string>

namespace bergamot::adapterhttp {

/// An exchange that failed. The step is Connect, Dispatch (while the request
/// was sent) or Answer (while the response was read).
class HttpClientError : public base::Error {
public:
  HttpClientError(base::Step step, std::string peer, const std::string &message,
                  bool requestMayHaveBeenSent);

  /// Returns false only if no byte of the request left this process, so that
  /// the peer can't have executed anything.
  bool requestMayHaveBeenSent() const { return MayHaveBeenSent; }

private:
  bool MayHaveBeenSent;
};

} // namespace bergamot::adapterhttp

#endif
