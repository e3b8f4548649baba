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

base::TimePoint after(std::chrono::milliseconds time) {
  return base::TimePoint::clock::now() + time;
}

template <typename Standin> std::string endpointOf(const Standin &standin) {
  return "127.0.0.1:" + std::to_string(standin.port());
}

CallDeadlines defaultDeadlines() { return {after(3s), after(5s), 2s}; }

BackEndCall completionCall(const std::string &id, const std::string &prompt,
                           int tokens, bool isStream) {
  nlohmann::json body = {{"prompt", prompt},
                         {"max_tokens", tokens},
                         {"stream", isStream},
                         {"model", "default"}};
  return {"POST", "/v1/completions", {}, body.dump(), base::RequestId{id}};
}

struct ResponseCollector {
  int Status = 0;
  std::string Body;
  std::size_t StopAfterBytes = std::string::npos;
  ResponseSink Sink{[this](int status, const auto &) {
                      Status = status;
                      return true;
                    },
                    [this](std::string_view data) {
                      Body += data;
                      return Body.size() < StopAfterBytes;
                    }};
};

standin::EngineOptions warmEngine() {
  standin::EngineOptions options;
  options.Limits.WarmAfter = 0;
  options.TokenInterval = 5ms;
  return options;
}

} // namespace

TEST_CASE("a completion is a deterministic function of its prompt",
          "[engine]") {
  standin::EngineStandin engine(warmEngine());
  HttpEngine client(endpointOf(engine));
  CancellationToken cancel;
  for (bool isStream : {false, true}) {
    ResponseCollector response;
    CHECK(client.run(completionCall("r", "hello", 5, isStream),
                     defaultDeadlines(), response.Sink, cancel));
    CHECK(response.Status == 200);
    CHECK(standin::textOfBody(response.Body) ==
          standin::completionText("hello", 5));
  }
  ResponseCollector chat;
  BackEndCall call{"POST", "/v1/chat/completions", {}, "", {}};
  call.Body = R"({"messages":[{"role":"user","content":"hi"}],
                  "max_tokens":3,"stream":true})";
  CHECK(client.run(call, defaultDeadlines(), chat.Sink, cancel));
  CHECK(standin::textOfBody(chat.Body) ==
        standin::completionText("user: hi\n", 3));
  ResponseCollector invalid;
  call.Body = R"({"max_tokens":3})";
  CHECK(client.run(call, defaultDeadlines(), invalid.Sink, cancel));
  CHECK(invalid.Status == 400);
}

TEST_CASE("a stream can be resumed at any byte offset", "[engine]") {
  standin::EngineStandin engine(warmEngine());
  HttpEngine client(endpointOf(engine));
  CancellationToken cancel;
  ResponseCollector part;
  part.StopAfterBytes = 200;
  // The sink aborts the call in the middle of the stream; a resumed response
  // must contain exactly the remaining bytes.
  CHECK_FALSE(client.run(completionCall("r", "hello", 8, true),
                         defaultDeadlines(), part.Sink, cancel));
  standin::Completion expected{"r", "default", "hello", 8, false, true};
  for (std::uint64_t offset :
       {std::uint64_t{part.Body.size()}, std::uint64_t{0}, std::uint64_t{77}}) {
    ResponseCollector rest;
    CHECK(client.resume({"r"}, offset, defaultDeadlines(), rest.Sink, cancel));
    CHECK(rest.Body == standin::streamBody(expected).substr(offset));
  }
  ResponseCollector unknown;
  CHECK(client.resume({"x"}, 0, defaultDeadlines(), unknown.Sink, cancel));
  CHECK(unknown.Status == 404);
}

TEST_CASE("cancelling a stream frees its KV cache", "[engine]") {
  auto options = warmEngine();
  options.TokenInterval = 50ms;
  standin::EngineStandin engine(options);
  HttpEngine client(endpointOf(engine));
  CancellationToken cancel;
  ResponseCollector response;
  auto mayHaveBeenSent = std::async(std::launch::async, [&] {
    try {
      client.run(completionCall("r", "hello", 100, true), defaultDeadlines(),
                 response.Sink, cancel);
      return false;
    } catch (const adapterhttp::HttpClientError &e) {
      return e.requestMayHaveBeenSent();
    }
  });
  while (client.load(after(2s)).Running == 0)
    std::this_thread::sleep_for(5ms);
  CHECK(client.load(after(2s)).KvTokensUsed == 102);
  SECTION("by the engine's cancel request") {
    CHECK(client.cancelStream({"r"}, after(2s)));
  }
  SECTION("by the cancellation token") { cancel.cancel(); }
  CHECK(mayHaveBeenSent.get());
  auto end = after(2s);
  while (client.load(after(2s)).KvTokensUsed != 0 &&
         base::TimePoint::clock::now() < end)
    std::this_thread::sleep_for(5ms);
  CHECK(client.load(after(2s)).KvTokensUsed == 0);
  CHECK_FALSE(client.cancelStream({"r"}, after(2s)));
}

TEST_CASE("a call can be cancelled before the response head arrives",
          "[engine]") {
  auto options = warmEngine();
  options.FirstToken = 3s;
  standin::EngineStandin engine(options);
  HttpEngine client(endpointOf(engine));
  CancellationToken cancel;
  std::thread canceller([&] {
    std::this_thread::sleep_for(50ms);
    cancel.cancel();
  });
  ResponseCollector response;
  auto begin = base::TimePoint::clock::now();
  CHECK_THROWS_AS(client.run(completionCall("r", "p", 1, false),
                             defaultDeadlines(), response.Sink, cancel),
                  adapterhttp::HttpClientError);
  CHECK(base::TimePoint::clock::now() - begin < 1s);
  canceller.join();
}

TEST_CASE("an engine restarts when its KV cache overflows", "[engine]") {
  auto options = warmEngine();
  options.Limits.KvTokens = 100;
  options.Limits.RestartTime = 100ms;
  options.TokenInterval = 50ms;
  standin::EngineStandin engine(options);
  HttpEngine client(endpointOf(engine));
  CancellationToken cancel;
  ResponseCollector first;
  auto isComplete = std::async(std::launch::async, [&] {
    try {
      return client.run(completionCall("a", "1234", 60, true),
                        defaultDeadlines(), first.Sink, cancel);
    } catch (const adapterhttp::HttpClientError &) {
      return false;
    }
  });
  while (engine.state().loadReport()["running"] == 0)
    std::this_thread::sleep_for(5ms);
  auto before = client.load(after(2s)).BackEndIncarnation;
  ResponseCollector second;
  CHECK_THROWS_AS(client.run(completionCall("b", "1234", 60, true),
                             defaultDeadlines(), second.Sink, cancel),
                  adapterhttp::HttpClientError);
  CHECK_FALSE(isComplete.get());
  CHECK(engine.state().stats()["kv_overloads"] == 1);
  std::this_thread::sleep_for(120ms);
  CHECK(client.load(after(2s)).BackEndIncarnation > before);
}

TEST_CASE("a cold engine has a lower limit until requests have warmed it",
          "[engine]") {
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
  auto running = state.begin("d", 1);
  CHECK(state.begin("e", 1));
  state.setCold();
  CHECK(state.isRunning(*running));
  CHECK_FALSE(state.begin("f", 1));
  CHECK(state.stats()["cold_overloads"] == 2);
}

TEST_CASE("load reports lag and cache events are delayed and have gaps",
          "[engine]") {
  auto options = warmEngine();
  options.Limits.LoadLag = 150ms;
  options.Limits.EventLag = 100ms;
  options.Limits.EventGap = 2;
  standin::EngineStandin engine(options);
  HttpEngine client(endpointOf(engine));
  std::this_thread::sleep_for(160ms);
  REQUIRE(engine.state().begin("a", 10));
  CHECK(client.load(after(2s)).Running == 0);
  auto blocks = promptPrefixHashes(std::string(3 * PromptBlockBytes + 5, 'x'));
  REQUIRE(blocks.size() == 3);
  engine.state().addBlocks(blocks);
  CHECK(client.cacheEvents(1, after(2s)).Events.empty());
  std::this_thread::sleep_for(170ms);
  CHECK(client.load(after(2s)).Running == 1);
  auto page = client.cacheEvents(1, after(2s));
  REQUIRE(page.Events.size() == 2);
  CHECK(page.Events[0].BlockHash == blocks[0]);
  CHECK(page.Events[1].Sequence == 3);
  CHECK(page.Next == 4);
}

TEST_CASE("orders are fenced and expert maps are staged before a switch",
          "[engine]") {
  auto options = warmEngine();
  for (bool enforcesFence : {true, false}) {
    options.HonoursFence = enforcesFence;
    standin::EngineStandin engine(options);
    HttpEngine client(endpointOf(engine));
    CHECK(client.order("load_model", {5}, {{"model", "m"}}, after(2s)) ==
          OrderResult::Accepted);
    CHECK(client.order("load_model", {4}, {{"model", "n"}}, after(2s)) ==
          (enforcesFence ? OrderResult::StaleFence : OrderResult::Accepted));
  }
  standin::EngineStandin engine(options);
  HttpEngine client(endpointOf(engine));
  // A rank that switched to a map it lacks would differ from the other ranks,
  // which must all use the same map at the same step.
  CHECK_FALSE(client.switchMap("h1", 2, after(2s)));
  client.stageMap("h1", {1, 2}, after(2s));
  client.stageMap("h1", {1, 2}, after(2s));
  CHECK(client.switchMap("h1", 2, after(2s)));
  CHECK(client.switchMap("h1", 2, after(2s)));
  CHECK(client.expertCounts(after(2s)).value("map", std::string("x")).empty());
  CHECK(client.expertCounts(after(2s))["map"] == "h1");
  client.stageMap("h2", {3}, after(2s));
  CHECK_FALSE(client.switchMap("h2", 1, after(2s)));
}

TEST_CASE("a service counts executions whose response was lost", "[service]") {
  standin::ServiceStandin service({});
  HttpBackEnd client(endpointOf(service));
  CancellationToken cancel;
  BackEndCall call{"POST", "/reservations", {}, R"({"order_id":"o1"})", {}};
  service.faults().set({{"lose_answers", 1}});
  ResponseCollector unanswered;
  try {
    client.run(call, defaultDeadlines(), unanswered.Sink, cancel);
    FAIL("the lost response was not reported");
  } catch (const adapterhttp::HttpClientError &e) {
    CHECK(e.requestMayHaveBeenSent());
  }
  CHECK(service.executions("o1") == 1);
  ResponseCollector repeated;
  CHECK(client.run(call, defaultDeadlines(), repeated.Sink, cancel));
  CHECK(repeated.Status == 201);
  CHECK(service.executions("o1") == 2);
  for (std::string target : {"/large/300000", "/large/300000?chunked=1"}) {
    ResponseCollector large;
    CHECK(client.run({"GET", target, {}, "", {}}, defaultDeadlines(),
                     large.Sink, cancel));
    CHECK(large.Body == standin::ServiceStandin::largeContent(300000));
  }
  service.faults().set({{"lose_answers", 1}, {"path", "/large"}});
  ResponseCollector truncated;
  CHECK_THROWS_AS(client.run({"GET", "/large/300000?chunked=1", {}, "", {}},
                             defaultDeadlines(), truncated.Sink, cancel),
                  adapterhttp::HttpClientError);
}
