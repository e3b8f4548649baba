#include "standin/standinserver.h"

#include "libbergamotbase/error.h"

#include <utility>

namespace bergamot::standin {

namespace {

constexpr std::size_t MaxBodyBytes = 16 * 1024 * 1024;

adapterhttp::HttpServerOptions optionsOf(const std::string &listenEndpoint,
                                         int connections) {
  adapterhttp::HttpServerOptions options;
  options.ListenEndpoint = listenEndpoint;
  options.WorkerThreads = connections;
  options.MaxBodyBytes = MaxBodyBytes;
  return options;
}

} // namespace

StandinServer::StandinServer(const std::string &listenEndpoint, int connections,
                             Handler handler, FaultHook hook)
    : Handle(std::move(handler)), Hook(std::move(hook)),
      Server(optionsOf(listenEndpoint, connections),
             [this](const adapterhttp::HttpRequest &request,
                    adapterhttp::HttpResponder &responder) {
               serve(request, responder);
             }) {}

StandinServer::~StandinServer() {
  Stopping = true;
  Server.stop();
}

void StandinServer::serve(const adapterhttp::HttpRequest &request,
                          adapterhttp::HttpResponder &responder) {
  Exchange exchange(request, responder, Stopping);
  try {
    if (exchange.Path.empty())
      exchange.answerProblem(404, "no such endpoint");
    else if (exchange.Path[0] == "faults")
      serveFaults(exchange);
    else if (exchange.Path[0] == "debug")
      Handle(exchange);
    else
      serveWithFaults(exchange);
  } catch (const base::Error &e) {
    exchange.answerProblem(400, e.what());
  } catch (const nlohmann::json::exception &e) {
    exchange.answerProblem(400, e.what());
  }
}

void StandinServer::serveWithFaults(Exchange &exchange) {
  const std::string &path = exchange.Request.Path;
  if (PresentFaults.take(Fault::Down, path)) {
    exchange.Responder.drop();
    return;
  }
  if (PresentFaults.take(Fault::Silent, path)) {
    exchange.waitUntil(base::TimePoint::max());
    exchange.Responder.drop();
    return;
  }
  auto delay = PresentFaults.takeDelay(path);
  if (delay.count() > 0 &&
      !exchange.waitUntil(base::TimePoint::clock::now() + delay)) {
    exchange.Responder.drop();
    return;
  }
  exchange.LosesAnswer = PresentFaults.take(Fault::LoseAnswer, path);
  Handle(exchange);
}

void StandinServer::serveFaults(Exchange &exchange) {
  if (exchange.Request.Method == "POST") {
    nlohmann::json body = exchange.body();
    if (Hook && body.is_object())
      Hook(body);
    PresentFaults.set(body);
  }
  exchange.answer(200, PresentFaults.present());
}

} // namespace bergamot::standin
