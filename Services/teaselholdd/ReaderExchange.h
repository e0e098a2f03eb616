#pragma once

#include "Coordination/NodeEvents.h"
#include "Services/teaselholdd/AdmissionQueue.h"
#include "Transport/HttpClientPool.h"
#include "Transport/HttpServer.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace teaselhold::daemon {

/// Asks other nodes whether they read the configuration for the others, and
/// answers the same question. A node that reads holds the question back until
/// that changes, so the connection of the question shows at once that it ended.
/// Used on the data thread.
class ReaderExchange
{
public:
  using Sink = std::function<void(coordination::ReaderAnswered)>;

  ReaderExchange(boost::asio::io_context& aContext, Sink aSink);

  /// Sets what this node answers from now on.
  void SetRole(coordination::ReaderRole aRole);

  /// This node ends: others must not rely on it any more.
  void Stop();

  /// Asks a node; the sink gets its answer.
  void Ask(const coordination::AskReader& aQuestion);

  /// Serves the question of another node. One that may not wait makes a node
  /// that follows check its own reader: others are looking for one, and the
  /// connection of its own question may have gone silent.
  /// @param aMayWait the answer may be held back while this node reads.
  Awaitable<Response> Serve(Request aQuestion,
                            bool aMayWait,
                            transport::CancellationPointer aCancellation);

private:
  using Timer = boost::asio::steady_timer;
  using Milliseconds = std::chrono::milliseconds;

  /// The question of this node that another one holds back.
  struct OpenQuestion
  {
    transport::CancellationPointer cancellation;
    std::chrono::steady_clock::time_point since;
  };

  Awaitable<void> SendQuestion(std::uint64_t aCall,
                               std::string aAddress,
                               bool aMayWait);
  void EndHolds();
  void CheckReader();

  boost::asio::io_context& context_;
  Sink sink_;
  transport::HttpClientPool pool_;
  coordination::ReaderRole role_ = coordination::ReaderRole::Unavailable;
  bool isStopped_ = false;
  /// One for each question that is held back.
  std::set<std::shared_ptr<Timer>> holds_;
  std::optional<OpenQuestion> openQuestion_;
  /// How long a node holds the next question back, by address, as it said.
  std::map<std::string, Milliseconds> waits_;
};

} // namespace teaselhold::daemon
