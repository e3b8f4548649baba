#ifndef BERGAMOT_REVIEW_CLIENT_H
#define BERGAMOT_REVIEW_CLIENT_H

#include "record.h"

#include <optional>
#include <string>

namespace bergamot::review {

/// A request of a client and what came of it.
struct ClientRequest {
  std::string Id;
  std::string Method = "POST";
  std::string Target;
  std::chrono::milliseconds TimeBudget{4000};
};

struct ClientResult {
  std::chrono::milliseconds SentAt{0};
  std::chrono::milliseconds EndedAt{0};
  /// 0 if no complete answer came.
  int Status = 0;
  std::size_t BodyBytes = 0;
};

/// The tenant's key that the configurations of the cases contain.
inline constexpr auto ApiKey = "n2ctnfzs989anu6wsjnb";
/// The host of their routes.
inline constexpr auto Host = "orders.example";

/// Returns the text of a request.
std::string requestText(const ClientRequest &request);
/// Sends a request on an open connection and reads the answer.
ClientResult exchange(int fd, HttpReader &reader, const ClientRequest &request,
                      Record &record);

} // namespace bergamot::review

#endif
