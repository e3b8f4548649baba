#include "adapterengine/httpengine.h"
#include "adapterengine/promptblocks.h"
#include "libbergamotbase/digest.h"
#include "standin/enginestandin.h"
#include "standin/servicestandin.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace bergamot;
using namespace bergamot::adapterengine;
using namespace std::chrono_literals;

namespace {

base::TimePoint in(std::chrono::milliseconds time) {
  return base::TimePoint::clock::now() + time;
}

template <typename Standin> std::string endpointOf(const Standin &standin) {
  return "127.0.0.1:" + std::to_string(standin.port());
}

CallDeadlines deadlines() { return {in(3s), in(5s), 2s}; }

BackEndCall completion(const std::string &id, const std::string &prompt,
                       int tokens, bool isStream) {
  nlohmann::json body = {{"prompt", prompt},
                         {"max_tokens", tokens},
                         {"stream", isStream},
                         {"model", "default"}};
  return {"POST", "/v1/completions", {}, body.dump(), base::RequestId{id}};
}

struct Collected {
  int Status = 0;
  std::string Body;
  std::size_t StopAt = std::string::npos;
  ResponseSink Sink{[this](int status, const auto &) {
                      Status = status;
                      return true;
                    },
                    [this](std::string_view piece) {
                      Body += piece;
                      return Body.size() < StopAt;
                    }};
};

standin::EngineOptions warmEngine() {
  standin::EngineOptions options;
  options.Limits.WarmAfter = 0;
  options.TokenInterval = 5ms;
  return options;
}

} // namespace

TEST_CASE("completions are the function of the prompt", "[engine]") {
  standin::EngineStandin engine(warmEngine());
  HttpEngine port(endpointOf(engine));
  CallCancel cancel;
  for (bool isStream : {false, true}) {
    Collected got;
    CHECK(port.run(completion("r", "hello", 5, isStream), deadlines(), got.Sink,
                   cancel));
    CHECK(got.Status == 200);
    CHECK(standin::textOfBody(got.Body) == standin::completionText("hello", 5));
  }
  Collected chat;
  BackEndCall call{"POST", "/v1/chat/completions", {}, "", {}};
  call.Body = R"({"messages":[{"role":"user","content":"hi"}],
                  "max_tokens":3,"stream":true})";
  CHECK(port.run(call, deadlines(), chat.Sink, cancel));
  CHECK(standin::textOfBody(chat.Body) ==
        standin::completionText("user: hi\n", 3));
  Collected bad;
  call.Body = R"({"max_tokens":3})";
  CHECK(port.run(call, deadlines(), bad.Sink, cancel));
  CHECK(bad.Status == 400);
}

TEST_CASE("a stream is resumed at any byte", "[engine]") {
  standin::EngineStandin engine(warmEngine());
  HttpEngine port(endpointOf(engine));
  CallCancel cancel;
  Collected part;
  part.StopAt = 200;
  // The reader leaves in the middle; the rest must continue byte by byte.
  CHECK_FALSE(port.run(completion("r", "hello", 8, true), deadlines(),
                       part.Sink, cancel));
  standin::Completion expected{"r", "default", "hello", 8, false, true};
  for (std::uint64_t offset :
       {std::uint64_t{part.Body.size()}, std::uint64_t{0}, std::uint64_t{77}}) {
    Collected rest;
    CHECK(port.resume({"r"}, offset, deadlines(), rest.Sink, cancel));
    CHECK(rest.Body == standin::streamBody(expected).substr(offset));
  }
  Collected unknown;
  CHECK(port.resume({"x"}, 0, deadlines(), unknown.Sink, cancel));
  CHECK(unknown.Status == 404);
}

TEST_CASE("a cancelled stream frees its memory", "[engine]") {
  auto options = warmEngine();
  options.TokenInterval = 50ms;
  standin::EngineStandin engine(options);
  HttpEngine port(endpointOf(engine));
  CallCancel cancel;
  Collected got;
  auto failed = std::async(std::launch::async, [&] {
    try {
      port.run(completion("r", "hello", 100, true), deadlines(), got.Sink,
               cancel);
      return false;
    } catch (const adapterhttp::HttpClientError &e) {
      return e.requestMayHaveBeenSent();
    }
  });
  while (port.load(in(2s)).Running == 0)
    std::this_thread::sleep_for(5ms);
  CHECK(port.load(in(2s)).KvTokensUsed == 102);
  SECTION("at the engine") { CHECK(port.cancelStream({"r"}, in(2s))); }
  SECTION("at the caller") { cancel.cancel(); }
  CHECK(failed.get());
  auto end = in(2s);
  while (port.load(in(2s)).KvTokensUsed != 0 &&
         base::TimePoint::clock::now() < end)
    std::this_thread::sleep_for(5ms);
  CHECK(port.load(in(2s)).KvTokensUsed == 0);
  CHECK_FALSE(port.cancelStream({"r"}, in(2s)));
}

TEST_CASE("waiting for the head can be cancelled", "[engine]") {
  auto options = warmEngine();
  options.FirstToken = 3s;
  standin::EngineStandin engine(options);
  HttpEngine port(endpointOf(engine));
  CallCancel cancel;
  std::thread other([&] {
    std::this_thread::sleep_for(50ms);
    cancel.cancel();
  });
  Collected got;
  auto begin = base::TimePoint::clock::now();
  CHECK_THROWS_AS(
      port.run(completion("r", "p", 1, false), deadlines(), got.Sink, cancel),
      adapterhttp::HttpClientError);
  CHECK(base::TimePoint::clock::now() - begin < 1s);
  other.join();
}

TEST_CASE("an engine falls over beyond its memory", "[engine]") {
  auto options = warmEngine();
  options.Limits.KvTokens = 100;
  options.Limits.RestartTime = 100ms;
  options.TokenInterval = 50ms;
  standin::EngineStandin engine(options);
  HttpEngine port(endpointOf(engine));
  CallCancel cancel;
  Collected first;
  auto dropped = std::async(std::launch::async, [&] {
    try {
      return port.run(completion("a", "1234", 60, true), deadlines(),
                      first.Sink, cancel);
    } catch (const adapterhttp::HttpClientError &) {
      return false;
    }
  });
  while (engine.state().loadReport()["running"] == 0)
    std::this_thread::sleep_for(5ms);
  auto before = port.load(in(2s)).BackEnd;
  Collected second;
  CHECK_THROWS_AS(port.run(completion("b", "1234", 60, true), deadlines(),
                           second.Sink, cancel),
                  adapterhttp::HttpClientError);
  CHECK_FALSE(dropped.get());
  CHECK(engine.state().stats()["kv_overloads"] == 1);
  std::this_thread::sleep_for(120ms);
  CHECK(port.load(in(2s)).BackEnd > before);
}

TEST_CASE("a cold engine bears little until work has warmed it", "[engine]") {
  standin::EngineOptions options;
  options.Limits.ColdLimit = 1;
  options.Limits.WarmAfter = 2;
  options.Limits.ColdGrace = 0ms;
  options.Limits.RestartTime = 0ms;
  standin::EngineState state(options.Limits);
  auto run = state.begin("a", 1);
  REQUIRE(run);
  CHECK(run->IsCold);
  CHECK_FALSE(state.begin("b", 1));
  CHECK(state.stats()["cold_overloads"] == 1);
  CHECK_FALSE(state.isRunning(*run));
  for (int i = 0; i < 2; ++i)
    state.finish(*state.begin("c", 1), true);
  CHECK(state.loadReport()["cold"] == false);
  auto one = state.begin("d", 1);
  CHECK(state.begin("e", 1));
  state.setCold();
  CHECK(state.isRunning(*one));
  CHECK_FALSE(state.begin("f", 1));
  CHECK(state.stats()["cold_overloads"] == 2);
}

TEST_CASE("reports lag, events are late and have gaps", "[engine]") {
  auto options = warmEngine();
  options.Limits.LoadLag = 150ms;
  options.Limits.EventLag = 100ms;
  options.Limits.EventGap = 2;
  standin::EngineStandin engine(options);
  HttpEngine port(endpointOf(engine));
  std::this_thread::sleep_for(160ms);
  REQUIRE(engine.state().begin("a", 10));
  CHECK(port.load(in(2s)).Running == 0);
  auto blocks = promptBlocks(std::string(3 * PromptBlockBytes + 5, 'x'));
  REQUIRE(blocks.size() == 3);
  engine.state().addBlocks(blocks);
  CHECK(port.cacheEvents(1, in(2s)).Events.empty());
  std::this_thread::sleep_for(170ms);
  CHECK(port.load(in(2s)).Running == 1);
  auto page = port.cacheEvents(1, in(2s));
  REQUIRE(page.Events.size() == 2);
  CHECK(page.Events[0].Block == blocks[0]);
  CHECK(page.Events[1].Sequence == 3);
  CHECK(page.Next == 4);
}

TEST_CASE("orders, and maps of a rank", "[engine]") {
  auto options = warmEngine();
  for (bool honours : {true, false}) {
    options.HonoursFence = honours;
    standin::EngineStandin engine(options);
    HttpEngine port(endpointOf(engine));
    CHECK(port.order("load_model", {5}, {{"model", "m"}}, in(2s)) ==
          OrderResult::Accepted);
    CHECK(port.order("load_model", {4}, {{"model", "n"}}, in(2s)) ==
          (honours ? OrderResult::StaleFence : OrderResult::Accepted));
  }
  standin::EngineStandin engine(options);
  HttpEngine port(endpointOf(engine));
  // A switch to a map that the rank lacks would break the lock-step.
  CHECK_FALSE(port.switchMap("h1", 2, in(2s)));
  port.stageMap("h1", {1, 2}, in(2s));
  port.stageMap("h1", {1, 2}, in(2s));
  CHECK(port.switchMap("h1", 2, in(2s)));
  CHECK(port.switchMap("h1", 2, in(2s)));
  CHECK(port.expertCounts(in(2s)).value("map", std::string("x")).empty());
  CHECK(port.expertCounts(in(2s))["map"] == "h1");
  port.stageMap("h2", {3}, in(2s));
  CHECK_FALSE(port.switchMap("h2", 1, in(2s)));
}

TEST_CASE("a service counts each execution", "[service]") {
  standin::ServiceStandin service({});
  HttpBackEnd port(endpointOf(service));
  CallCancel cancel;
  BackEndCall call{"POST", "/reservations", {}, R"({"order_id":"o1"})", {}};
  service.faults().set({{"lose_answers", 1}});
  Collected lost;
  try {
    port.run(call, deadlines(), lost.Sink, cancel);
    FAIL("the lost answer was not noticed");
  } catch (const adapterhttp::HttpClientError &e) {
    CHECK(e.requestMayHaveBeenSent());
  }
  CHECK(service.executions("o1") == 1);
  Collected again;
  CHECK(port.run(call, deadlines(), again.Sink, cancel));
  CHECK(again.Status == 201);
  CHECK(service.executions("o1") == 2);
  for (std::string target : {"/large/300000", "/large/300000?chunked=1"}) {
    Collected large;
    CHECK(
        port.run({"GET", target, {}, "", {}}, deadlines(), large.Sink, cancel));
    CHECK(large.Body == standin::ServiceStandin::largeContent(300000));
  }
  service.faults().set({{"lose_answers", 1}, {"path", "/large"}});
  Collected cut;
  CHECK_THROWS_AS(port.run({"GET", "/large/300000?chunked=1", {}, "", {}},
                           deadlines(), cut.Sink, cancel),
                  adapterhttp::HttpClientError);
}
