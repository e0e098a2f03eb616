#pragma once

#include "Tests/Services/Mesh.h"
#include "Tests/Support/AnswerServer.h"
#include "Tests/Support/TcpRelay.h"

#include <thread>

namespace teaselhold::tests {

/// A store and two nodes in the environment of the platform, as real processes
/// on loopback. The service "backends" has one upstream, in this process,
/// beside the first node; the second node reaches it through the first.
class PlatformMesh
{
public:
  /// Starts everything and waits until both nodes carry calls.
  /// @param aScript what the upstream answers. Requests for /ready/ and health
  /// checks have answers of their own.
  explicit PlatformMesh(AnswerServer::Script aScript);
  ~PlatformMesh();
  PlatformMesh(const PlatformMesh&) = delete;
  PlatformMesh& operator=(const PlatformMesh&) = delete;

  /// Sends a request to the node beside the upstream, or to the far one.
  /// @param aPath below /safe/, which may be repeated, /upload/ or, with the
  /// newer configuration, /added/.
  CallResult Send(bool aIsFar,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody = "");

  /// Writes a newer configuration, which also has a route for /added/.
  void WriteNewerConfiguration() { WriteConfiguration(kNewerConfiguration); }

  /// Cuts the far node off from the store.
  void CutStoreOfFarNode() { farStore_->Cut(); }

  const AnswerServer& Upstream() const { return upstream_; }

  /// Kills the node beside the upstream and answers at its address in its
  /// place. The far node takes it for the node until the store has forgotten
  /// it.
  std::unique_ptr<AnswerServer> TakeNearNode(AnswerServer::Script aScript);

  /// The end of what both nodes have logged.
  std::string Logs() const;

private:
  void StartNode(std::size_t aIndex);
  static const std::string kNewerConfiguration;

  void WriteConfiguration(const std::string& aConfiguration);
  void Announce(const std::stop_token& aEnd);
  bool Carries(bool aIsFar);

  std::string folder_;
  std::string storeAddress_;
  AnswerServer upstream_;
  std::array<std::string, 2> callers_;
  std::array<std::string, 2> announcements_;
  std::array<std::string, 2> dataAddresses_;
  std::unique_ptr<Process> store_;
  std::unique_ptr<TcpRelay> farStore_;
  std::array<std::unique_ptr<Process>, 2> nodes_;
  unsigned nextRequest_ = 0;
  /// Ends first, so that it does not call what is gone.
  std::jthread announcer_;
};

} // namespace teaselhold::tests
