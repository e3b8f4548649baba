#ifndef BERGAMOT_TESTS_PATH_RAWBACKEND_H
#define BERGAMOT_TESTS_PATH_RAWBACKEND_H

#include "adaptertcp/tcpconnection.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bergamot::testpath {

/// A back end that answers every request, except those for its load, with the
/// same bytes, and leaves the connection open.
class RawBackEnd {
public:
  RawBackEnd();
  ~RawBackEnd();
  RawBackEnd(const RawBackEnd &) = delete;
  RawBackEnd &operator=(const RawBackEnd &) = delete;

  std::string endpoint() const;

  void setAnswer(const std::string &bytes);

  /// Returns the number of requests answered, without those for its load.
  int requestCount() const { return Requests; }

private:
  void accept();
  void serve(adaptertcp::TcpConnection::Socket socket);
  std::string answerTo(const std::string &target);

  boost::asio::io_context Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::vector<std::shared_ptr<adaptertcp::TcpConnection>> Open;
  std::mutex Mutex;
  std::string Answer;
  std::atomic<int> Requests{0};
  std::thread Thread;
};

} // namespace bergamot::testpath

#endif
