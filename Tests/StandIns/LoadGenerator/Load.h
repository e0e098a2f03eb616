#pragma once

#include "Transport/HttpClientPool.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace teaselhold::stand_ins {

struct RequestKind
{
  std::string requestClass;
  std::string method;
  std::string path;
};

struct LoadOptions
{
  std::vector<std::string> nodes;
  std::vector<RequestKind> kinds;
  std::vector<std::string> tenants;
  /// Each request also goes straight to this upstream; empty sends none.
  std::string straight;
  std::uint32_t count = 0;
  std::uint32_t rate = 0;
  std::chrono::milliseconds timeout{ 3000 };
  /// Sends of a keyed request whose outcome is unknown.
  unsigned keyedSends = 0;
  std::string label;
  std::uint32_t seed = 1;
};

struct LoadResults
{
  std::map<std::string, std::map<std::string, unsigned>> outcomes;
  std::map<std::string, unsigned> reasons;
  std::vector<double> latencies;
  std::vector<double> straightLatencies;
  /// Run identifiers of requests that the system reported as not run.
  std::vector<std::string> notRun;
  /// One line on each request that got no answer of an upstream.
  std::vector<std::string> unanswered;
  unsigned otherNodeTried = 0;
  unsigned resent = 0;
};

/// Sends requests at a steady rate, as a caller with several node addresses.
class Load
{
public:
  Load(boost::asio::io_context& aContext, LoadOptions aOptions);

  /// Sends requests until the count is reached; several can run.
  boost::asio::awaitable<void> Work();

  LoadResults& Results() { return results_; }

private:
  using Clock = std::chrono::steady_clock;
  using Answer =
    tl::expected<transport::HttpResponse, transport::TransportError>;

  struct Verdict
  {
    std::string outcome;
    std::string reason;
    /// The node that was asked last, and the transport's error if any.
    std::string node = {};
    std::string error = {};
  };

  boost::asio::awaitable<void> SendOne(unsigned aNumber);
  boost::asio::awaitable<Verdict> SendToNodes(
    const transport::HttpRequest& aRequest,
    std::size_t aFirstNode);
  boost::asio::awaitable<void> SendStraight(
    const transport::HttpRequest& aRequest);
  transport::HttpRequest MakeRequest(const RequestKind& aKind,
                                     const std::string& aId);
  static Verdict Judge(const transport::HttpRequest& aRequest,
                       const Answer& aAnswer);

  boost::asio::io_context& context_;
  LoadOptions options_;
  transport::HttpClientPool pool_;
  std::mt19937 random_;
  Clock::time_point started_ = Clock::now();
  unsigned next_ = 0;
  LoadResults results_;
};

} // namespace teaselhold::stand_ins
