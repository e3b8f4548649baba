#ifndef BERGAMOT_ADAPTERHTTP_ENDPOINT_H
#define BERGAMOT_ADAPTERHTTP_ENDPOINT_H

#include <cstdint>
#include <string>

namespace bergamot::adapterhttp {

/// An IP address and a port.
struct Endpoint {
  std::string Ip;
  std::uint16_t Port = 0;
};

/// Parses an endpoint such as 10.0.0.1:7000 or [::1]:7000. Throws base::Error
/// with step Settings if it is not one; names are not resolved.
Endpoint parseEndpoint(const std::string &text);

} // namespace bergamot::adapterhttp

#endif
