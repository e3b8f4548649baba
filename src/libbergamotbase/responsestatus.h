#ifndef BERGAMOT_LIBBERGAMOTBASE_RESPONSESTATUS_H
#define BERGAMOT_LIBBERGAMOTBASE_RESPONSESTATUS_H

namespace bergamot::base {

/// Returns whether HTTP allows a response with this status to a request that
/// asks for no other protocol, as all requests of this product do. RFC 9110,
/// 15 defines 100 to 599; 101 answers only those that ask for one.
constexpr bool isAllowedStatus(int status) {
  constexpr int SwitchingProtocols = 101;
  return status >= 100 && status <= 599 && status != SwitchingProtocols;
}

/// Returns whether a status is that of an interim response (1xx), which comes
/// before the response to the request.
constexpr bool isInterimStatus(int status) {
  return isAllowedStatus(status) && status < 200;
}

/// Returns whether the response with this status can be the response to the
/// request.
constexpr bool isFinalStatus(int status) {
  return isAllowedStatus(status) && !isInterimStatus(status);
}

} // namespace bergamot::base

#endif
