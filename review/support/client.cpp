#include "client.h"

namespace bergamot::review {

std::string requestText(const ClientRequest &request) {
  const std::string body = request.Method == "GET" ? "" : "{}";
  return request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + Host +
         "\r\nBergamotloft-Request-Id: " + request.Id +
         "\r\nBergamotloft-Deadline-Remaining: " +
         std::to_string(request.TimeBudget.count()) +
         "\r\nAuthorization: Token " + ApiKey +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

ClientResult exchange(int fd, HttpReader &reader, const ClientRequest &request,
                      Record &record) {
  ClientResult result;
  result.SentAt = record.now();
  record.write("client sends request " + request.Id + " " + request.Target);
  if (sendAll(fd, requestText(request)))
    if (const auto answer = reader.read())
      result.Status = answer->status();
  result.BodyBytes = reader.bodyBytes();
  result.EndedAt = record.now();
  record.write("client's request " + request.Id +
               (result.Status == 0
                    ? std::string(" ends without a complete answer")
                    : " is answered " + std::to_string(result.Status)) +
               ", " + std::to_string(result.BodyBytes) + " bytes of its body");
  return result;
}

} // namespace bergamot::review
