#include "Tests/StandIns/UpstreamStandIn/Upstream.h"

#include "Protocol/Headers.h"

#include <charconv>

namespace teaselhold::stand_ins {

namespace {

using transport::HttpRequest;
using transport::HttpResponse;
namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::chrono::hours kForever{ 1 };

HttpResponse
Answer(http::status aStatus, std::string aBody)
{
  HttpResponse response;
  response.result(aStatus);
  response.body() = std::move(aBody);
  return response;
}

HttpResponse
Shed()
{
  auto response = Answer(http::status::service_unavailable, "shed\n");
  response.set(protocol::headers::kShed, "yes");
  return response;
}

/// @return the time that the caller still waits, or kForever.
std::chrono::milliseconds
Remaining(const HttpRequest& aRequest)
{
  const auto text = aRequest[protocol::headers::kDeadline];
  std::uint32_t value = 0;
  const auto result =
    std::from_chars(text.data(), text.data() + text.size(), value);
  return result.ec == std::errc() ? std::chrono::milliseconds(value)
                                  : std::chrono::milliseconds(kForever);
}

Fault
FaultOf(const std::string& aTarget)
{
  if (aTarget.ends_with("/partial")) {
    return Fault::Partial;
  }
  if (aTarget.ends_with("/silent")) {
    return Fault::Silent;
  }
  return aTarget.ends_with("/reset") ? Fault::Reset : Fault::None;
}

} // namespace

Upstream::Upstream(asio::io_context& aContext, UpstreamOptions aOptions)
  : context_(aContext)
  , options_(std::move(aOptions))
  , runLog_(options_.runLog, std::ios::app)
{
}

asio::awaitable<Reply>
Upstream::Handle(const HttpRequest& aRequest,
                 transport::CancellationPointer aCancellation)
{
  const std::string target(aRequest.target().data(), aRequest.target().size());
  if (target == "/health" || target == "/load") {
    co_return Reply{ Health() };
  }
  if (target.starts_with("/stand-in/")) {
    co_return Reply{ Control(target, aRequest.body()) };
  }
  if (draining_ || running_ >= options_.slots) {
    ++shed_;
    co_return Reply{ Shed() };
  }
  co_return co_await Run(aRequest, target, std::move(aCancellation));
}

asio::awaitable<Reply>
Upstream::Run(const HttpRequest& aRequest,
              const std::string& aTarget,
              transport::CancellationPointer aCancellation)
{
  ++running_;
  ++runs_;
  RecordRun(aRequest);
  if (aTarget.ends_with("/crash")) {
    std::_Exit(1);
  }
  auto work = options_.work;
  if (aTarget.ends_with("/hang")) {
    work = kForever;
  } else if (aTarget.ends_with("/slow")) {
    work = options_.slowWork;
  }
  const auto remaining = Remaining(aRequest);
  asio::steady_timer timer(context_);
  timer.expires_after(std::min(work, remaining));
  const transport::Cancellation::Scope scope(aCancellation,
                                             [&] { timer.cancel(); });
  boost::system::error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  --running_;
  if (transport::IsCancelled(aCancellation)) {
    ++cancelled_;
  } else if (remaining < work) {
    ++expired_;
    // A marked fault concerns each answer, or a silent request would get one.
    co_return Reply{ Answer(http::status::gateway_timeout, "deadline\n"),
                     FaultOf(aTarget) };
  }
  co_return Reply{ Answer(http::status::ok,
                          options_.name + " " + aTarget + " " +
                            aRequest.body() + "\n"),
                   FaultOf(aTarget) };
}

HttpResponse
Upstream::Control(const std::string& aTarget, const std::string& aBody)
{
  if (aTarget == "/stand-in/drain") {
    draining_ = true;
    return Answer(http::status::ok, "draining\n");
  }
  if (aTarget == "/stand-in/health") {
    options_.health = aBody;
    return Answer(http::status::ok, aBody + "\n");
  }
  if (aTarget == "/stand-in/counters") {
    return Answer(http::status::ok,
                  "{\"running\": " + std::to_string(running_) +
                    ", \"runs\": " + std::to_string(runs_) +
                    ", \"shed\": " + std::to_string(shed_) +
                    ", \"cancelled\": " + std::to_string(cancelled_) +
                    ", \"expired\": " + std::to_string(expired_) + "}\n");
  }
  return Answer(http::status::not_found, "unknown control path\n");
}

HttpResponse
Upstream::Health()
{
  auto sample = LaggingSample();
  if (options_.health != "honest") {
    sample.isReady = options_.health == "healthy";
    sample.running = 0;
  }
  return Answer(sample.isReady ? http::status::ok
                               : http::status::service_unavailable,
                "{\"running\": " + std::to_string(sample.running) + "}\n");
}

Upstream::Sample
Upstream::LaggingSample()
{
  const auto now = Clock::now();
  samples_.push_back({ now, IsReady(), running_ });
  // Keeps the newest sample that is old enough at the front.
  while (samples_.size() > 1 && samples_[1].time <= now - options_.healthLag) {
    samples_.pop_front();
  }
  return samples_.front();
}

bool
Upstream::IsReady() const
{
  return !draining_ && Clock::now() - started_ >= options_.coldStart;
}

void
Upstream::RecordRun(const HttpRequest& aRequest)
{
  const auto id = aRequest["X-Run-Id"];
  if (runLog_ && !id.empty()) {
    runLog_ << id << std::endl;
  }
}

} // namespace teaselhold::stand_ins
