#include "adapterhttp/httpstream.h"

#include <utility>

namespace bergamot::adapterhttp {

namespace {

constexpr std::size_t ReceiveBytes = 16 * 1024;

} // namespace

HttpStream::HttpStream(std::shared_ptr<ConnectionPool> pool,
                       std::string_view request, bool isHead,
                       base::TimePoint deadline, HttpCancel *cancel)
    : Pool(std::move(pool)), Connection(Pool->take(deadline)), Cancel(cancel),
      Parser(isHead), Buffer(ReceiveBytes, '\0') {
  if (Cancel)
    Cancel->attach(Connection.get());
  try {
    Connection->send(request, deadline);
    while (!Parser.isHeadComplete())
      receive(deadline);
  } catch (...) {
    if (Cancel)
      Cancel->attach(nullptr);
    throw;
  }
}

HttpStream::~HttpStream() {
  if (Cancel)
    Cancel->attach(nullptr);
  // A connection with an unread rest of a response can't be used again.
  if (Parser.keepsAlive())
    Pool->add(std::move(Connection));
}

int HttpStream::status() const { return Parser.status(); }

const std::vector<HttpHeader> &HttpStream::headers() const {
  return Parser.headers();
}

std::string HttpStream::read(std::size_t most, base::TimePoint deadline) {
  if (Connection->isCancelled())
    throw HttpClientError(base::Step::Answer, Pool->peer(),
                          Pool->peer() + ": the request was cancelled", true);
  while (Parser.availableBytes() == 0 && !Parser.isComplete())
    receive(deadline);
  return Parser.takeBody(most);
}

void HttpStream::cancel() { Connection->cancel(); }

void HttpStream::receive(base::TimePoint deadline) {
  std::size_t n = Connection->receive(Buffer.data(), Buffer.size(), deadline);
  std::string problem =
      n == 0 ? Parser.addEnd() : Parser.add({Buffer.data(), n});
  if (!problem.empty())
    throw HttpClientError(base::Step::Answer, Pool->peer(),
                          Pool->peer() + ": " + problem, true);
}

} // namespace bergamot::adapterhttp
