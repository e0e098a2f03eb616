#pragma once

#include "State/Instant.h"

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace teaselhold::state {

struct ArrivalLogOptions
{
  std::size_t identitiesPerPeer = 4096;
  /// 1,024 peers with full rings are 32 MB.
  std::size_t maxPeers = 1024;
  /// A silent peer is forgotten for another one after this time. Longer than a
  /// request can be on its way.
  Duration minimumKeep = std::chrono::minutes(10);
};

/// Records the newest request numbers of each peer to answer whether a request
/// has arrived. A request reported as never arrived is barred, so that the
/// answer stays true if the request arrives later. The log is lost on restart,
/// so a query names the incarnation that the request was sent to.
class ArrivalLog
{
public:
  enum class Verdict : std::uint8_t
  {
    /// The request is new and may be executed.
    New,
    /// The peer was told that it never arrived: refuse it as not run.
    Barred,
    /// It arrived before or may have been barred: do not run it, and answer
    /// that the outcome is unknown.
    Doubtful,
  };

  enum class Answer : std::uint8_t
  {
    Arrived,
    /// The request has not been executed and will not be.
    NeverArrived,
    Forgotten,
  };

  /// @param aIncarnation of this process.
  explicit ArrivalLog(std::uint64_t aIncarnation,
                      ArrivalLogOptions aOptions = {});

  /// @param aPeer node and incarnation of the sender.
  /// @param aNumber grows with each request of that incarnation, and is never
  ///        sent twice.
  Verdict Arrive(const std::string& aPeer, std::uint64_t aNumber, Instant aNow);

  /// Answers a peer's query whether a request has arrived.
  /// @param aAskedIncarnation the one that the request was sent to.
  Answer Ask(const std::string& aPeer,
             std::uint64_t aNumber,
             std::uint64_t aAskedIncarnation,
             Instant aNow);

  std::size_t PeerCount() const { return peers_.size(); }

private:
  struct Mark
  {
    std::uint64_t number : 63;
    std::uint64_t isBarred : 1;
  };
  struct Peer : boost::intrusive::list_base_hook<>
  {
    /// The key in peers_.
    const std::string* name = nullptr;
    /// Ring; next is the oldest one once it is full.
    std::vector<Mark> marks;
    std::size_t next = 0;
    std::uint64_t highest = 0;
    /// Numbers up to this one may have been forgotten.
    std::uint64_t forgottenUpTo = 0;
    /// Numbers up to this one may have been barred and forgotten.
    std::uint64_t barredUpTo = 0;
    Instant touched{ 0 };
  };

  Peer* Find(const std::string& aPeer, Instant aNow);
  Peer* Create(const std::string& aPeer, Instant aNow);
  void Insert(Peer& aPeer, std::uint64_t aNumber, bool aIsBarred) const;
  static const Mark* Search(const Peer& aPeer, std::uint64_t aNumber);

  std::uint64_t incarnation_;
  ArrivalLogOptions options_;
  std::unordered_map<std::string, Peer> peers_;
  /// The least recently heard first; destroyed before the peers.
  boost::intrusive::list<Peer> order_;
  /// Requests of some peer were forgotten or not recorded.
  bool hasGaps_ = false;
};

} // namespace teaselhold::state
