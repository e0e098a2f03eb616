#include "Transport/HttpClientPool.h"

#include <algorithm>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_string(nodes, "", "caller addresses of nodes, separated by commas");
DEFINE_string(requests,
              "check GET /passes",
              "CLASS METHOD /path, separated by commas");
DEFINE_uint32(count, 1000, "requests in all");
DEFINE_uint32(connections, 8, "requests in flight");
DEFINE_uint32(rate, 500, "requests a second");
DEFINE_uint32(timeout_milliseconds, 3000, "time limit of a request");
DEFINE_string(label, "load", "prefix of the run identifiers");

namespace {

using namespace teaselhold::transport;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

struct RequestKind
{
  std::string requestClass;
  std::string method;
  std::string path;
};

struct Results
{
  std::map<std::string, std::map<std::string, unsigned>> outcomes;
  std::map<std::string, unsigned> reasons;
  std::vector<double> latencies;
  /// Run identifiers of requests that the system reported as not run.
  std::vector<std::string> notRun;
};

std::vector<std::string>
Split(const std::string& aText, char aSeparator)
{
  std::vector<std::string> parts;
  std::stringstream stream(aText);
  for (std::string part; std::getline(stream, part, aSeparator);) {
    parts.push_back(part);
  }
  return parts;
}

/// Sends requests at a steady rate from several connections.
class Load
{
public:
  explicit Load(asio::io_context& aContext)
    : context_(aContext)
    , pool_(aContext, 64)
    , nodes_(Split(FLAGS_nodes, ','))
    , started_(Clock::now())
  {
    for (const auto& text : Split(FLAGS_requests, ',')) {
      std::stringstream stream(text);
      RequestKind kind;
      stream >> kind.requestClass >> kind.method >> kind.path;
      kinds_.push_back(kind);
    }
  }

  asio::awaitable<void> Work()
  {
    asio::steady_timer timer(context_);
    while (next_ < FLAGS_count) {
      const auto number = next_++;
      timer.expires_at(
        started_ + std::chrono::microseconds(1000000ULL * number / FLAGS_rate));
      co_await timer.async_wait(asio::use_awaitable);
      co_await SendOne(number);
    }
  }

  Results results_;

private:
  asio::awaitable<void> SendOne(unsigned aNumber)
  {
    const auto& kind = kinds_[aNumber % kinds_.size()];
    const auto& node = nodes_[(aNumber / kinds_.size()) % nodes_.size()];
    const auto id = FLAGS_label + "-" + std::to_string(aNumber);
    HttpRequest request(http::string_to_verb(kind.method), kind.path, 11);
    request.set(http::field::host, node);
    request.set("X-Run-Id", id);
    request.set("Teaselhold-Tenant", "load");
    request.body() = id;
    request.prepare_payload();
    const auto begin = Clock::now();
    const auto answer = co_await pool_.Send(
      node,
      std::move(request),
      begin + std::chrono::milliseconds(FLAGS_timeout_milliseconds));
    const std::chrono::duration<double, std::milli> elapsed =
      Clock::now() - begin;
    results_.latencies.push_back(elapsed.count());
    Record(kind, id, answer);
  }

  void Record(const RequestKind& aKind,
              const std::string& aId,
              const tl::expected<HttpResponse, TransportError>& aAnswer)
  {
    std::string outcome = "unknown";
    if (aAnswer) {
      const auto value = (*aAnswer)["Teaselhold-Outcome"];
      outcome.assign(value.data(), value.size());
      const auto reason = (*aAnswer)["Teaselhold-Reason"];
      if (!reason.empty()) {
        ++results_
            .reasons[outcome + " " + std::string(reason.data(), reason.size())];
      }
      if (outcome == "answered" &&
          aAnswer->body().find(aId) == std::string::npos &&
          aAnswer->result() == http::status::ok) {
        outcome = "foreign-answer";
      }
    } else if (aAnswer.error().code == TransportErrorCode::ConnectFailed) {
      outcome = "not-run";
    }
    if (outcome == "not-run") {
      results_.notRun.push_back(aId);
    }
    ++results_.outcomes[aKind.requestClass][outcome];
  }

  asio::io_context& context_;
  HttpClientPool pool_;
  std::vector<std::string> nodes_;
  std::vector<RequestKind> kinds_;
  Clock::time_point started_;
  unsigned next_ = 0;
};

void
Print(Results& aResults)
{
  for (const auto& [requestClass, outcomes] : aResults.outcomes) {
    for (const auto& [outcome, count] : outcomes) {
      std::cout << "outcome " << requestClass << " " << outcome << " " << count
                << "\n";
    }
  }
  for (const auto& [reason, count] : aResults.reasons) {
    std::cout << "reason " << reason << " " << count << "\n";
  }
  for (const auto& id : aResults.notRun) {
    std::cout << "not-run " << id << "\n";
  }
  std::ranges::sort(aResults.latencies);
  for (const auto percent : { 50, 99 }) {
    const auto index = aResults.latencies.size() * percent / 100;
    std::cout << "latency p" << percent << " " << aResults.latencies[index]
              << " ms\n";
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  asio::io_context context(1);
  Load load(context);
  for (unsigned i = 0; i < FLAGS_connections; ++i) {
    asio::co_spawn(context, load.Work(), asio::detached);
  }
  context.run();
  Print(load.results_);
  return 0;
}
