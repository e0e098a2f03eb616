#pragma once

#include "Tests/Services/Process.h"
#include "Transport/HttpMessages.h"

#include <map>
#include <memory>
#include <optional>

namespace teaselhold::tests {

/// What a caller got: a whole answer, or none.
struct CallResult
{
  std::optional<transport::HttpResponse> answer;

  std::string Header(const std::string& aName) const;
  std::string Outcome() const { return Header("Teaselhold-Outcome"); }
  std::string Reason() const { return Header("Teaselhold-Reason"); }
  std::string Body() const { return answer ? answer->body() : ""; }
  unsigned Status() const { return answer ? answer->result_int() : 0; }
};

/// Sends one request on a connection of its own and waits for the answer.
CallResult
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::map<std::string, std::string>& aHeaders = {},
     const std::string& aBody = "");

/// A store and nodes with upstreams of one service, as real processes on
/// loopback. All requests run in this service: GET /passes is idempotent, POST
/// /visits is not.
class Mesh
{
public:
  struct Node
  {
    std::string name;
    std::string caller;
    std::string data;
    std::string control;
    std::string admin;
    std::string upstreamAddress;
    std::unique_ptr<Process> node;
    std::unique_ptr<Process> upstream;
  };

  /// Starts everything and waits until every node answers calls.
  /// @param aNodeSettings more lines of the section [node] of each node
  explicit Mesh(std::size_t aNodes, std::string aNodeSettings = "");
  ~Mesh();

  Node& operator[](std::size_t aIndex) { return nodes_[aIndex]; }
  std::size_t Size() const { return nodes_.size(); }

  void StartUpstream(Node& aNode);

  /// Kills the node's process if it runs and starts a new one.
  void RestartNode(Node& aNode);

  /// Replaces the node's settings file, with aMore at its end.
  void WriteSettings(const Node& aNode, const std::string& aMore) const;

  /// What all processes of the node have logged.
  std::string LogOf(const Node& aNode) const
  {
    return Read(aNode.name + ".log");
  }

  /// Restarts the node and sends it the signal while it reads its settings, or
  /// aDelay after it has read them.
  void RestartNodeWithSignal(Node& aNode,
                             int aSignal,
                             std::optional<std::chrono::milliseconds> aDelay);

  /// Applies a text that differs with aVersion.
  /// @return the exit code of teaselctl.
  int Apply(const Node& aNode, unsigned aVersion);

  /// Sets the faults of the store's stand-in, by its control flags.
  void SetStoreFaults(const std::vector<std::string>& aFlags);

  /// The versions that the node put in force, over all its processes.
  std::vector<unsigned> VersionsOf(const Node& aNode) const;

  /// True if the node last logged that it holds a store reader slot.
  bool IsReader(const Node& aNode) const;

  /// Waits until every running node routes by exactly this version.
  bool WaitForVersion(unsigned aVersion);

  /// Starts the load generator on all nodes; half of its requests are orders.
  /// At most one load runs in a test.
  void StartLoad(unsigned aCount,
                 unsigned aRate,
                 const std::vector<std::string>& aFlags = {});

  /// Waits until the load's requests have run so many times.
  bool WaitForRuns(std::size_t aCount) const;

  /// Waits for the end of the load.
  /// @return its outcomes, summed over the classes.
  std::map<std::string, unsigned> FinishLoad();

  /// The load's output and the warnings of all nodes, to trace a failure.
  std::string FailureReport() const;

  /// Asserts after the load that told outcomes are true: not-run did not run,
  /// no order ran twice, no answer belongs to another request.
  void CheckPromises() const;

  /// @return how often each request was run by any upstream.
  std::map<std::string, unsigned> Runs() const;

  /// Reads one number from the counters of the upstream.
  static unsigned Counter(const Node& aNode, const std::string& aName);

private:
  std::string SettingsOf(const Node& aNode) const;
  void StartNode(Node& aNode);
  void LaunchNode(Node& aNode);
  std::string Path(const std::string& aName) const;
  std::string Read(const std::string& aName) const;

  std::string nodeSettings_;
  std::string folder_;
  std::string storeAddress_;
  std::unique_ptr<Process> store_;
  std::vector<Node> nodes_;
  std::unique_ptr<Process> load_;
  unsigned loadCount_ = 0;
};

} // namespace teaselhold::tests
