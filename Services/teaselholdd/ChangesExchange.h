#pragma once

#include "Coordination/ConfigurationChangeLog.h"
#include "Coordination/NodeEvents.h"
#include "Services/teaselholdd/AdmissionQueue.h"
#include "Transport/HttpClientPool.h"

#include <functional>
#include <memory>

namespace teaselhold::daemon {

/// Asks other nodes for the changes of the configuration that this one misses,
/// and answers the same question. Used on the data thread.
class ChangesExchange
{
public:
  using Sink = std::function<void(coordination::ChangesAnswered)>;

  ChangesExchange(boost::asio::io_context& aContext, Sink aSink);

  /// Sets what this node answers from now on.
  void Set(std::shared_ptr<const coordination::ConfigurationChangeLog> aChanges)
  {
    changes_ = std::move(aChanges);
  }

  /// Asks a node; the sink gets its answer, or an empty one.
  void Ask(const coordination::AskChanges& aQuestion);

  /// Answers the question of another node.
  Response Serve(const Request& aQuestion) const;

private:
  Awaitable<void> SendQuestion(coordination::AskChanges aQuestion);

  boost::asio::io_context& context_;
  Sink sink_;
  transport::HttpClientPool pool_;
  std::shared_ptr<const coordination::ConfigurationChangeLog> changes_;
};

} // namespace teaselhold::daemon
