#include "adapterhttp/httpclienterror.h"

#include <utility>

namespace bergamot::adapterhttp {

HttpClientError::HttpClientError(base::Step step, std::string peer,
                                 const std::string &message,
                                 bool requestMayHaveBeenSent)
    : base::Error(step, std::move(peer), message),
      MayHaveBeenSent(requestMayHaveBeenSent) {}

} // namespace bergamot::adapterhttp
