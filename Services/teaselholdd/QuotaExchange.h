#pragma once

#include "Coordination/CallTypes.h"
#include "Coordination/Quotas/Quotas.h"
#include "Coordination/RoutingSnapshot.h"
#include "Services/teaselholdd/Clock.h"
#include "Services/teaselholdd/Exchange.h"
#include "Services/teaselholdd/Settings.h"
#include "Transport/HttpClientPool.h"

#include <map>
#include <mutex>
#include <set>

namespace teaselhold::daemon {

/// What the metrics tell of the quotas.
struct QuotaMetrics
{
  std::map<std::string, coordination::quotas::AccountCounts> accounts;
  std::size_t positionsLent = 0;
  std::uint64_t messages = 0;
  std::uint64_t failedMessages = 0;
};

/// Carries the messages of quotas::Quotas between nodes, and lets requests wait
/// for credit. Used on the data thread.
class QuotaExchange
{
public:
  QuotaExchange(boost::asio::io_context& aContext,
                const Settings& aSettings,
                const Clock& aClock,
                std::uint64_t aIncarnation);

  void SetSnapshot(const coordination::RoutingSnapshotPointer& aSnapshot);

  /// The settings have changed.
  void OnSettings();

  /// The process is about to end.
  void Leave();

  /// Credit for one request. Gives it back unless the request may have run.
  class Credit
  {
  public:
    Credit(QuotaExchange& aExchange,
           std::string aAccount,
           const coordination::quotas::Credit& aCredit)
      : exchange_(aExchange)
      , account_(std::move(aAccount))
      , credit_(aCredit)
    {
    }

    /// The outcome of the request is known.
    void Finish(const coordination::Outcome& aOutcome);

  private:
    QuotaExchange& exchange_;
    std::string account_;
    coordination::quotas::Credit credit_;
  };

  /// Takes credit for a request, and waits a short time for it if it must be
  /// borrowed.
  Awaitable<tl::expected<Credit, coordination::NotRun>> Acquire(
    std::string aAccount,
    state::Instant aDeadline);

  /// Serves the questions of another node.
  Response Serve(const Request& aRequest);

  /// Safe on any thread.
  QuotaMetrics Metrics() const;

private:
  using Timer = boost::asio::steady_timer;
  using Commands = coordination::quotas::QuotaCommands;

  void Do(const Commands& aCommands);
  Awaitable<void> Send(coordination::quotas::SendQuestions aCommand);
  Awaitable<void> RunTicks();
  void Tick();
  void TakeListing();
  void CopyMetrics();
  void LogLending();
  void LogRefusals();

  boost::asio::io_context& context_;
  const Settings& settings_;
  const Clock& clock_;
  coordination::quotas::Quotas quotas_;
  transport::HttpClientPool pool_;
  coordination::RoutingSnapshotPointer snapshot_;
  std::shared_ptr<const state::EndpointTable> listing_;
  state::Instant nextListing_{ 0 };
  state::Instant nextMetrics_{ 0 };
  bool isTicking_ = false;
  std::map<std::string, std::set<std::shared_ptr<Timer>>> waiters_;
  std::size_t loggedLent_ = 0;
  std::map<std::string, std::uint64_t> loggedRefusals_;
  std::uint64_t messages_ = 0;
  std::uint64_t failedMessages_ = 0;
  mutable std::mutex metricsMutex_;
  QuotaMetrics metrics_;
};

} // namespace teaselhold::daemon
