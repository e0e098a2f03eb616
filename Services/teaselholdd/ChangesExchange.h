#pragma once

#include "Coordination/ConfigurationChangeLog.h"
#include "Coordination/NodeEvents.h"
#include "Services/teaselholdd/AdmissionQueue.h"
#include "Services/teaselholdd/VersionExchange.h"
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

  /// @param aVersions told in the questions and answers, as in all messages
  ///        between nodes.
  ChangesExchange(boost::asio::io_context& aContext,
                  const Clock& aClock,
                  VersionExchange& aVersions,
                  Sink aSink);

  /// Sets what this node answers from now on.
  void Set(std::shared_ptr<const coordination::ConfigurationChangeLog> aChanges)
  {
    changes_ = std::move(aChanges);
  }

  /// Asks a node; the sink gets its answer, or an empty one.
  void Ask(const coordination::AskChanges& aQuestion);

  /// Answers the question of another node.
  Response Serve(const Request& aQuestion);

private:
  Awaitable<void> SendQuestion(coordination::AskChanges aQuestion);

  boost::asio::io_context& context_;
  const Clock& clock_;
  VersionExchange& versions_;
  Sink sink_;
  transport::HttpClientPool pool_;
  std::shared_ptr<const coordination::ConfigurationChangeLog> changes_;
};

} // namespace teaselhold::daemon
