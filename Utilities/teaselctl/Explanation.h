#pragma once

#include "Utilities/teaselctl/LogLine.h"

#include <istream>
#include <set>
#include <vector>

namespace teaselhold::tool {

/// A line of the log of a known node.
struct NodeLine
{
  std::string node;
  LogLine line;
};

/// What the logs of nodes tell of one request.
struct Explanation
{
  /// Lines of the request and of the requests that its upstreams made for it,
  /// in the order of time.
  std::vector<NodeLine> steps;
  /// Changes of the nodes that the steps name, around the time of the request,
  /// and what was the last of each kind before.
  std::vector<NodeLine> changes;
  std::set<std::string> nodes;
  /// Lines that are not of a node's log, or cut.
  std::uint64_t unreadable = 0;
};

/// Collects from logs what explains one request. Requests of other identities
/// take no memory.
class Explainer
{
public:
  explicit Explainer(std::string aId)
    : id_(std::move(aId))
  {
  }

  /// Reads the log of one node, or of several where each line begins with its
  /// node.
  /// @param aName the node's name as far as the lines do not tell it
  void Read(std::istream& aLog, std::string aName);

  /// Puts together what was read.
  Explanation Finish();

private:
  void Take(LogLine aLine, const std::string& aNode);
  bool IsStep(const LogLine& aLine) const;
  std::vector<NodeLine> ChangesOf(const std::string& aNode,
                                  std::int64_t aFrom,
                                  std::int64_t aTo) const;

  std::string id_;
  Explanation result_;
  std::vector<NodeLine> changes_;
};

} // namespace teaselhold::tool
