#ifndef BERGAMOT_TESTS_ENTRYPATH_ENTRYFIXTURE_H
#define BERGAMOT_TESTS_ENTRYPATH_ENTRYFIXTURE_H

#include "adaptertcp/messageparser.h"
#include "adaptertcp/tcpconnection.h"
#include "entrypath/compactedtopic.h"
#include "entrypath/entry.h"
#include "entrypath/headercodec.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bergamot::entrypath {

/// A codec for test headers, to test entries without the platform.
class TestHeaderCodec final : public HeaderCodec {
public:
  CallerRequest
  decodeRequest(const adaptertcp::RequestHead &head) const override;
  TargetResponse
  decodeResponse(const adaptertcp::ResponseHead &head) const override;
  bool isKnownResponseField(std::string_view name) const override;
  void prepareForwarding(adaptertcp::HeaderFields &headers,
                         const std::string &account) const override;
  void setAttemptHeaders(adaptertcp::HeaderFields &headers,
                         const AttemptHeaders &fields) const override;
  void setRequestId(adaptertcp::HeaderFields &headers,
                    const std::string &id) const override;
};

/// A topic that never answers.
class SilentTopic final : public CompactedTopic {
public:
  void readNewest(const std::string &, base::TimePoint, Completion) override {}
  void read(std::uint64_t, base::TimePoint, base::TimePoint,
            Completion) override {}
  void cancel() override {}
};

/// A target whose responses a test provides.
class TestTarget {
public:
  using Connection = std::shared_ptr<adaptertcp::TcpConnection>;
  /// Receives a request and the connection to respond on.
  using Handler = std::function<void(const adaptertcp::RequestHead &head,
                                     const std::string &body,
                                     const Connection &connection)>;

  TestTarget(boost::asio::io_context &loop, Handler handler);
  ~TestTarget();

  /// Accepts connections with a small receive buffer from now on, and reads
  /// from them only after a delay.
  void readAfter(std::chrono::milliseconds delay);
  /// Closes the listening socket and all connections, as if the process had
  /// ended.
  void crash();
  /// Cuts the target off: nothing arrives at it any more, neither on its
  /// connections nor to open one.
  void cutOff();
  /// Ends like a process that is killed while it has nothing left to read: its
  /// connections end without a reset.
  void exit();

  std::string address() const;
  std::uint32_t requestCount() const { return Requests; }
  std::uint32_t connectionCount() const { return Connections; }
  std::uint32_t closedCount() const { return Closed; }

private:
  void accept();
  void serve(adaptertcp::TcpConnection::Socket socket);

  boost::asio::ip::tcp::acceptor Acceptor;
  Handler OnRequest;
  std::chrono::milliseconds ReadDelay{0};
  std::vector<Connection> Open;
  std::uint32_t Requests = 0;
  std::uint32_t Connections = 0;
  std::uint32_t Closed = 0;
};

/// Returns an unused endpoint on the loopback interface.
boost::asio::ip::tcp::endpoint freeEndpoint();

/// Returns the settings of an entry in tests; it listens on a free port.
EntrySettings entrySettings(const std::string &name);

/// Returns a newer configuration than the fixture's. Its routes "urgent" and
/// "normal" compete for the slots of the service "s"; requests of both are
/// served in time if they wait for up to 1.4 s, and are due in 20 s.
std::shared_ptr<const gateway::RouteTable> competingRoutes();

/// Returns a newer configuration than the fixture's, whose routes "once" and
/// "stream" are due in 20 s.
std::shared_ptr<const gateway::RouteTable> longRoutes();

/// Returns a signed response to a request.
std::string signedResponse(const adaptertcp::RequestHead &head,
                           const std::string &body, int status = 200,
                           const std::string &extraFields = "");

/// The streams that targets run until a test ends them.
struct HeldStreams {
  struct Stream {
    adaptertcp::RequestHead Head;
    TestTarget::Connection Connection;
    base::TimePoint StartedAt;
  };
  std::vector<Stream> All;

  TestTarget::Handler handler();
  /// Ends the streams that have run this long or have lost their entry.
  void end(base::Duration length);
  /// Returns the number of streams whose request ID has a prefix.
  std::size_t countOf(const std::string &idPrefix) const;
};

/// What a caller has received.
struct Received {
  std::string Bytes;
  bool Closed = false;

  bool has(std::string_view text) const {
    return Bytes.find(text) != std::string::npos;
  }
};

/// Returns the body of the complete response with status 200 that a caller has
/// received, if there is one. Requires that nothing follows it.
std::optional<std::string> completeBody(const Received &received);

/// Returns whether a caller has a complete response or will get no more of it.
bool hasEnded(const Received &received);

/// An entry with targets and callers on one event loop.
class EntryFixture {
public:
  /// When the entry receives its configuration.
  enum class Configured { Immediately, Later };

  explicit EntryFixture(Configured configured = Configured::Immediately);
  ~EntryFixture();

  /// Applies the configuration to the entry.
  void configure();

  /// Adds a target to the service "s", as a rank of a group unless `group` is
  /// empty.
  TestTarget &addTarget(const std::string &id, TestTarget::Handler handler,
                        std::uint32_t slots = 4, const std::string &group = "");
  /// Sends bytes over a new connection; the response is stored in the result.
  std::shared_ptr<Received> send(const std::string &bytes);
  /// Does the same at another entry.
  std::shared_ptr<Received> sendTo(const boost::asio::ip::tcp::endpoint &entry,
                                   const std::string &bytes);
  /// Sends bytes over a connection with a small receive buffer and segments as
  /// on an Ethernet link, so that the kernel buffers little.
  std::shared_ptr<Received> sendOverSlowLink(const std::string &bytes);
  /// Closes the connection on which a result is received.
  void disconnect(const std::shared_ptr<Received> &received);
  /// Pauses or resumes reading on the connection of a result.
  void setReading(const std::shared_ptr<Received> &received, bool on);
  /// Discards what arrives on the connection of a result, before the caller's
  /// kernel sees it, until this is ended.
  void setDropping(const std::shared_ptr<Received> &received, bool on);
  /// Sends further bytes over the connection of a result.
  void sendMore(const std::shared_ptr<Received> &received,
                const std::string &bytes);
  /// Reads what still comes on the connection of a result while nothing else
  /// runs, as after the end of the entry's process.
  void readWithoutEntry(const std::shared_ptr<Received> &received);
  /// Opens a connection, sends these bytes and leaves it open.
  void openConnection(const std::string &bytes);
  /// Runs the loop until the condition is true; returns false on time-out.
  bool runUntil(const std::function<bool()> &condition);
  void run(std::chrono::milliseconds time);

  Entry &entry() { return *TestedEntry; }
  const base::Metrics &metrics() const { return Metrics; }
  boost::asio::io_context &loop() { return Loop; }

private:
  adaptertcp::TcpConnection &
  callerOf(const std::shared_ptr<Received> &received);
  std::shared_ptr<Received>
  sendFrom(adaptertcp::TcpConnection::Socket socket,
           const boost::asio::ip::tcp::endpoint &entry,
           const std::string &bytes);

  boost::asio::io_context Loop;
  TestHeaderCodec Codec;
  base::Metrics Metrics;
  std::unique_ptr<Entry> TestedEntry;
  std::vector<std::unique_ptr<TestTarget>> Targets;
  std::vector<std::pair<std::shared_ptr<Received>,
                        std::shared_ptr<adaptertcp::TcpConnection>>>
      Callers;
};

/// Returns the text of a request; `route` is "safe", "once", "stream" or
/// "stream-once".
std::string requestText(const std::string &route, const std::string &id,
                        const std::string &fields = "");

} // namespace bergamot::entrypath

#endif
