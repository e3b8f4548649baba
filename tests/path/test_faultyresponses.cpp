// Answers of back ends that HTTP doesn't allow, or not as the final ones.
#include "rawbackend.h"
#include "support/faultyresponses.h"
#include "testdeployment.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::testpath;
using namespace bergamot::testsupport;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr const char *Reserve = "/services/stock/reservations";
constexpr const char *Read = "/services/stock/stock/x";
constexpr auto End = "Content-Length: 4\r\n\r\nbody";
constexpr auto SoundAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";
/// Less than the time that a call to an entry may take.
constexpr std::chrono::seconds MaxTime{10};

/// A deployment with one entry, in which one target has a back end whose
/// answers the test sets.
class RawDeployment {
public:
  RawDeployment() : Deployment(sizes()) {
    Deployment.setBackEnd(Target, BackEnd.endpoint());
    requireSoundAnswer();
  }

  /// Waits until the target serves, also if the entry avoids it after failures.
  void requireSoundAnswer() {
    BackEnd.setAnswer(SoundAnswer);
    REQUIRE(waitFor([&] { return call("GET", Read).Status == 200; }, in(20s)));
  }

  adapterhttp::HttpResponse call(const std::string &method,
                                 const std::string &path) {
    return Deployment.call(0, method, path, method == "GET" ? "" : "{}");
  }

  RawBackEnd BackEnd;

private:
  static constexpr int Target = 1;

  static Sizes sizes() {
    Sizes it;
    it.Entries = 1;
    it.Engines = Target;
    return it;
  }

  TestDeployment Deployment;
};

} // namespace

// Callers got a status of 000 and joined lines of a head.
TEST_CASE("a faulty answer of a back end reaches no caller", "[path]") {
  RawDeployment deployment;
  for (const FaultyHead &faulty : faultyHeads()) {
    CAPTURE(faulty.Flaw);
    deployment.requireSoundAnswer();
    deployment.BackEnd.setAnswer(faulty.text() + End);
    const int before = deployment.BackEnd.requestCount();
    const auto begin = std::chrono::steady_clock::now();
    const auto response = deployment.call("POST", Reserve);
    CHECK(std::chrono::steady_clock::now() - begin < MaxTime);
    CHECK(response.Status == 502);
    CHECK(json::parse(response.Body).at("executed") == "unknown");
    CHECK(deployment.BackEnd.requestCount() == before + 1);
  }
}

// Callers got the interim response in place of the answer.
TEST_CASE("interim answers of a back end aren't its answer", "[path]") {
  RawDeployment deployment;
  deployment.BackEnd.setAnswer("HTTP/1.1 100 Continue\r\n\r\n"
                               "HTTP/1.1 103 X\r\nX-A: b\r\n\r\n" +
                               std::string(SoundAnswer));
  const auto response = deployment.call("POST", Reserve);
  CHECK(response.Status == 200);
  CHECK(response.Body == "sound");
}
