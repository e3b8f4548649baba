#include "rawbackend.h"

#include "adaptertcp/messageparser.h"
#include "support/waiting.h"

namespace bergamot::testpath {

using adaptertcp::MessageParser;
using adaptertcp::TcpConnection;
using boost::asio::ip::tcp;

namespace {

constexpr auto LoadAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n"
                            "{\"incarnation\":1}";

} // namespace

RawBackEnd::RawBackEnd()
    : Acceptor(Loop,
               tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
  accept();
  Thread = std::thread([this] { Loop.run(); });
}

RawBackEnd::~RawBackEnd() {
  Loop.stop();
  Thread.join();
  for (const auto &it : Open)
    it->close();
}

std::string RawBackEnd::endpoint() const {
  return testsupport::loopbackEndpoint(Acceptor.local_endpoint().port());
}

void RawBackEnd::setAnswer(const std::string &bytes) {
  const std::lock_guard lock(Mutex);
  Answer = bytes;
}

std::string RawBackEnd::answerTo(const std::string &target) {
  if (target == "/v1/load")
    return LoadAnswer;
  ++Requests;
  const std::lock_guard lock(Mutex);
  return Answer;
}

void RawBackEnd::accept() {
  Acceptor.async_accept(
      [this](const boost::system::error_code &ec, tcp::socket socket) {
        if (ec)
          return;
        serve(std::move(socket));
        accept();
      });
}

void RawBackEnd::serve(TcpConnection::Socket socket) {
  auto connection = std::make_shared<TcpConnection>(std::move(socket));
  auto parser = std::make_shared<MessageParser>(MessageParser::Kind::Request);
  Open.push_back(connection);
  const std::weak_ptr<TcpConnection> weak = connection;
  connection->start({[this, weak, parser](std::string_view bytes) {
                       while (!bytes.empty()) {
                         bytes.remove_prefix(parser->push(bytes));
                         if (!parser->isComplete())
                           return;
                         const std::string target =
                             parser->requestHead().Target;
                         parser->restart();
                         if (const auto open = weak.lock())
                           open->send(answerTo(target));
                       }
                     },
                     {},
                     {}});
}

} // namespace bergamot::testpath
