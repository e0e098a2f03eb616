#include "Services/teaselholdd/DepartureReplicator.h"

#include "Coordination/PeerOrder.h"
#include "Protocol/Headers.h"
#include "Services/teaselholdd/HttpHeaders.h"

#include <spdlog/spdlog.h>

namespace teaselhold::daemon {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace headers = protocol::headers;

/// The store answers in milliseconds, so a node that waits longer is probably
/// turned away.
constexpr std::chrono::milliseconds kStoreTime{ 300 };
/// An upstream waits for 1 s for the acknowledgement.
constexpr std::chrono::milliseconds kHandoverTime{ 550 };
/// Another node answers once its write is done, or after this time.
constexpr std::chrono::milliseconds kPeerStoreTime{ 250 };
constexpr std::chrono::milliseconds kPeerTimeout{ 400 };
/// Nodes that are asked at the same time, and how many must keep a departure
/// that none of them can write.
constexpr std::size_t kPeersAsked = 3;
constexpr std::size_t kPeersNeeded = 2;
constexpr std::chrono::seconds kReminderInterval{ 1 };
/// By then the upstream and its late announcements are gone.
constexpr std::chrono::seconds kReminderTime{ 90 };

constexpr std::size_t kMaxIdlePerPeer = 1;

Response
MakeAnswer(http::status aStatus)
{
  Response response;
  response.result(aStatus);
  return response;
}

} // namespace

/// A departure that is being handed over, shared by those that ask other nodes.
struct DepartureReplicator::Handover
{
  state::UpstreamIdentity upstream;
  std::uint64_t number = 0;
  /// In the order in which they are asked.
  std::vector<std::string> peers;
  std::size_t nextPeer = 0;
  std::size_t keptBy = 0;
  bool isStored = false;
  Clock::time_point deadline = Clock::now() + kHandoverTime;

  bool IsSecure() const
  {
    const auto needed = std::min(kPeersNeeded, peers.size());
    return isStored || (keptBy > 0 && keptBy >= needed);
  }
};

DepartureReplicator::DepartureReplicator(asio::io_context& aContext,
                                         const Settings& aSettings,
                                         std::uint64_t aSeed,
                                         DepartureSaver& aSaver)
  : context_(aContext)
  , nodeName_(aSettings.nodeName)
  , saver_(aSaver)
  , random_(aSeed)
  , pool_(aContext, kMaxIdlePerPeer)
{
}

void
DepartureReplicator::SetSnapshot(coordination::RoutingSnapshotPointer aSnapshot)
{
  snapshot_ = std::move(aSnapshot);
}

asio::awaitable<bool>
DepartureReplicator::Secure(std::uint64_t aNumber,
                            const state::UpstreamIdentity& aUpstream)
{
  const auto upstream = aUpstream;
  if (co_await saver_.Wait(aNumber, kStoreTime)) {
    co_return true;
  }
  if (snapshot_ == nullptr || snapshot_->endpoints == nullptr) {
    co_return false;
  }
  const auto handover = std::make_shared<Handover>();
  handover->upstream = upstream;
  handover->number = aNumber;
  handover->peers =
    coordination::OrderPeers(*snapshot_->endpoints, nodeName_, random_);
  Start(handover);
  if (co_await saver_.Wait(aNumber, kHandoverTime)) {
    handover->isStored = true;
  }
  spdlog::info(
    "[upstream] Departure is handed over. id={} stored={} kept_by={} "
    "asked={}",
    upstream.id,
    handover->isStored,
    handover->keptBy,
    handover->nextPeer);
  co_return handover->IsSecure();
}

void
DepartureReplicator::Start(const HandoverPointer& aHandover)
{
  for (std::size_t i = 0; i < kPeersAsked; ++i) {
    asio::co_spawn(context_, AskPeers(aHandover), asio::detached);
  }
}

asio::awaitable<void>
DepartureReplicator::AskPeers(HandoverPointer aHandover)
{
  while (!aHandover->IsSecure() && Clock::now() < aHandover->deadline &&
         aHandover->nextPeer < aHandover->peers.size()) {
    const auto address = aHandover->peers[aHandover->nextPeer++];
    const auto request = MakeRequest(address, nodeName_, aHandover->upstream);
    const auto deadline =
      std::min(Clock::now() + kPeerTimeout, aHandover->deadline);
    const auto answer =
      co_await pool_.Send(address, request, deadline, nullptr);
    if (answer && answer->result() == http::status::ok) {
      aHandover->isStored = true;
    } else if (answer && answer->result() == http::status::accepted) {
      ++aHandover->keptBy;
    }
  }
  if (aHandover->IsSecure()) {
    saver_.EndWait(aHandover->number);
  }
}

Request
DepartureReplicator::MakeRequest(const std::string& aAddress,
                                 const std::string& aNode,
                                 const state::UpstreamIdentity& aUpstream) const
{
  Request request(http::verb::post, headers::kDeparturePath, 11);
  request.set(http::field::host, aAddress);
  SetHeader(request, headers::kNode, aNode);
  SetHeader(request, headers::kUpstream, aUpstream.id);
  SetHeader(request,
            headers::kUpstreamBorn,
            std::to_string(aUpstream.bornMilliseconds));
  return request;
}

std::optional<DepartureReplicator::RemoteDeparture>
DepartureReplicator::ReadDeparture(const Request& aRequest)
{
  RemoteDeparture departure;
  departure.node = ReadHeader(aRequest, headers::kNode);
  departure.upstream.id = ReadHeader(aRequest, headers::kUpstream);
  const auto born = ReadNumber<std::uint64_t>(aRequest, headers::kUpstreamBorn);
  if (departure.node.empty() || departure.upstream.id.empty() || !born) {
    return std::nullopt;
  }
  departure.upstream.bornMilliseconds = *born;
  return departure;
}

std::string
DepartureReplicator::KeyOf(const RemoteDeparture& aDeparture)
{
  return aDeparture.node + '/' + aDeparture.upstream.id + '/' +
         std::to_string(aDeparture.upstream.bornMilliseconds);
}

std::optional<state::UpstreamIdentity>
DepartureReplicator::ReadReminder(const Request& aRequest) const
{
  auto departure = ReadDeparture(aRequest);
  if (!departure || departure->node != nodeName_) {
    return std::nullopt;
  }
  return std::move(departure->upstream);
}

asio::awaitable<Response>
DepartureReplicator::Serve(const Request& aRequest)
{
  const auto departure = ReadDeparture(aRequest);
  if (!departure) {
    co_return MakeAnswer(http::status::bad_request);
  }
  std::erase_if(kept_, [this](const auto& aEntry) {
    return saver_.IsSaved(aEntry.second);
  });
  const auto key = KeyOf(*departure);
  const bool isNew = !kept_.contains(key);
  if (isNew) {
    kept_[key] = saver_.Start(departure->node, departure->upstream);
  }
  const auto number = kept_[key];
  if (co_await saver_.Wait(number, kPeerStoreTime)) {
    co_return MakeAnswer(http::status::ok);
  }
  spdlog::info("[upstream] Departure of another node is kept. node={} id={}",
               departure->node,
               departure->upstream.id);
  if (isNew) {
    StartReminding(*departure, number);
  }
  co_return MakeAnswer(http::status::accepted);
}

void
DepartureReplicator::StartReminding(const RemoteDeparture& aDeparture,
                                    std::uint64_t aNumber)
{
  asio::co_spawn(context_,
                 Remind(aDeparture.node, aDeparture.upstream, aNumber),
                 asio::detached);
}

asio::awaitable<void>
DepartureReplicator::Remind(std::string aNode,
                            state::UpstreamIdentity aUpstream,
                            std::uint64_t aNumber)
{
  const auto end = Clock::now() + kReminderTime;
  asio::steady_timer timer(context_);
  while (Clock::now() < end && !saver_.IsSaved(aNumber)) {
    const auto* record = snapshot_ == nullptr || snapshot_->endpoints == nullptr
                           ? nullptr
                           : snapshot_->endpoints->Find(aNode);
    if (record != nullptr) {
      const auto address = record->dataAddress;
      const auto request = MakeRequest(address, aNode, aUpstream);
      co_await pool_.Send(
        address, request, Clock::now() + kPeerTimeout, nullptr);
    }
    timer.expires_after(kReminderInterval);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
  saver_.OnSaved(aNumber);
}

} // namespace teaselhold::daemon
