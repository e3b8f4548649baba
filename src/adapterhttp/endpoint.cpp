#include "adapterhttp/endpoint.h"

#include "libbergamotbase/error.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace bergamot::adapterhttp {

Endpoint parseEndpoint(const std::string &text) {
  base::Error invalid(base::Step::Settings, text,
                      "'" + text + "' is not an IP address with a port");
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    throw invalid;
  std::string ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
    ip = ip.substr(1, ip.size() - 2);
  boost::system::error_code ec;
  boost::asio::ip::make_address(ip, ec);
  std::uint16_t port = 0;
  const char *end = text.data() + text.size();
  auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (ec || parsed.ec != std::errc() || parsed.ptr != end)
    throw invalid;
  return {ip, port};
}

} // namespace bergamot::adapterhttp
