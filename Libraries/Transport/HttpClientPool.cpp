#include "Transport/HttpClientPool.h"

#include "Transport/IdleConnections.h"

#include <algorithm>

namespace teaselhold::transport {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Steady = std::chrono::steady_clock;
using Result = tl::expected<HttpResponse, TransportError>;

constexpr std::chrono::milliseconds kSweepInterval{ 250 };
constexpr std::chrono::seconds kProbeAfter{ 1 };
constexpr std::chrono::seconds kProbeTimeout{ 2 };

/// A probe costs about 250 bytes with its answer and the TCP/IP headers. At
/// most 8 a second keep a node below a third of its 6 KB/s for control; the
/// idle connections above that are closed.
constexpr std::size_t kMaxProbesPerSweep = 2;

/// Answers that are read at the same time; the smallest hosts have 160 MB for
/// a node, which has two such pools.
constexpr std::uint64_t kMaxAnswerBytes = 24ULL * 1024 * 1024;

} // namespace

struct HttpClientPool::Shared
{
  asio::io_context& context;
  HttpClientOptions options;
  transport::IdleConnections idle;

  void BoundAnswers()
  {
    options.rules.memory = std::make_shared<AnswerMemory>(kMaxAnswerBytes);
  }

  void Keep(std::unique_ptr<HttpClientConnection> aConnection)
  {
    if (aConnection->IsReusable()) {
      idle.Put(std::move(aConnection), options.maxIdleConnections);
    }
  }

  /// Lets idle connections make way for others of the process.
  static void AddCloser(const std::shared_ptr<Shared>& aPool);
  static asio::awaitable<void> Sweep(asio::io_context& aContext,
                                     std::weak_ptr<Shared> aPool);
  static void SweepOnce(const std::shared_ptr<Shared>& aPool);
  static asio::awaitable<void> Probe(
    std::weak_ptr<Shared> aPool,
    std::unique_ptr<HttpClientConnection> aConnection,
    std::string aPath);
};

void
HttpClientPool::Shared::AddCloser(const std::shared_ptr<Shared>& aPool)
{
  auto& limits = aPool->options.limits;
  if (limits == nullptr) {
    limits = PeerLimits::OfProcess();
  }
  limits->descriptors->AddCloser([weak = std::weak_ptr(aPool)](IdleKind aKind) {
    const auto pool = weak.lock();
    return aKind == IdleKind::Pooled && pool != nullptr &&
           pool->idle.CloseOldest();
  });
}

asio::awaitable<void>
HttpClientPool::Shared::Probe(std::weak_ptr<Shared> aPool,
                              std::unique_ptr<HttpClientConnection> aConnection,
                              std::string aPath)
{
  HttpRequest request(http::verb::get, aPath, 11);
  request.set(http::field::host, "node");
  // Not a default argument: GCC 12 frees such a temporary of a coroutine twice.
  const AnswerRules rules;
  const auto answer = co_await aConnection->Exchange(
    request, Steady::now() + kProbeTimeout, nullptr, rules);
  const auto pool = aPool.lock();
  if (answer && pool != nullptr) {
    pool->Keep(std::move(aConnection));
  }
}

asio::awaitable<void>
HttpClientPool::Shared::Sweep(asio::io_context& aContext,
                              std::weak_ptr<Shared> aPool)
{
  // The timer is the coroutine's own, because the pool may end while it waits.
  asio::steady_timer timer(aContext);
  while (auto pool = aPool.lock()) {
    SweepOnce(pool);
    pool.reset();
    boost::system::error_code error;
    timer.expires_after(kSweepInterval);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

void
HttpClientPool::Shared::SweepOnce(const std::shared_ptr<Shared>& aPool)
{
  const auto now = Steady::now();
  aPool->idle.CloseOlder(now - aPool->options.maxIdleTime);
  if (aPool->options.probePath.empty()) {
    return;
  }
  auto unverified = aPool->idle.TakeUnverified(now - kProbeAfter);
  std::ranges::sort(
    unverified, std::ranges::greater{}, &HttpClientConnection::LastUse);
  unverified.resize(std::min(unverified.size(), kMaxProbesPerSweep));
  for (auto& connection : unverified) {
    asio::co_spawn(
      aPool->context,
      Probe(aPool, std::move(connection), aPool->options.probePath),
      asio::detached);
  }
}

HttpClientPool::HttpClientPool(asio::io_context& aContext,
                               HttpClientOptions aOptions)
  : shared_(new Shared{ aContext, std::move(aOptions), {} })
{
  shared_->BoundAnswers();
  Shared::AddCloser(shared_);
  asio::co_spawn(aContext, Shared::Sweep(aContext, shared_), asio::detached);
}

HttpClientPool::HttpClientPool(asio::io_context& aContext,
                               std::size_t aMaxIdleConnections)
  : shared_(new Shared{ aContext, {}, {} })
{
  shared_->options.maxIdleConnections = aMaxIdleConnections;
  shared_->BoundAnswers();
  Shared::AddCloser(shared_);
}

HttpClientPool::~HttpClientPool() = default;

asio::awaitable<Result>
HttpClientPool::Send(std::string aAddress,
                     const HttpRequest& aRequest,
                     Steady::time_point aDeadline,
                     CancellationPointer aCancellation,
                     ConnectionChoice aChoice)
{
  if (IsCancelled(aCancellation)) {
    co_return tl::make_unexpected(TransportError{
      TransportErrorCode::Cancelled, "the caller is gone; nothing was sent" });
  }
  const auto shared = shared_;
  std::unique_ptr<HttpClientConnection> connection;
  if (aChoice == ConnectionChoice::Pooled) {
    connection =
      shared->idle.Take(aAddress, Steady::now() - shared->options.maxIdleTime);
  }
  if (connection == nullptr) {
    connection = std::make_unique<HttpClientConnection>(shared->context,
                                                        shared->options.limits);
    auto connected = co_await connection->Connect(std::move(aAddress),
                                                  aDeadline,
                                                  aCancellation,
                                                  shared->options.silenceLimit);
    if (!connected) {
      co_return tl::make_unexpected(std::move(connected.error()));
    }
    if (shared->options.opened != nullptr) {
      ++*shared->options.opened;
    }
  }
  auto answer = co_await connection->Exchange(
    aRequest, aDeadline, aCancellation, shared->options.rules);
  if (answer) {
    connection->MarkUsed();
    shared->Keep(std::move(connection));
  }
  co_return answer;
}

void
HttpClientPool::CloseIdle(const std::string& aAddress)
{
  shared_->idle.Close(aAddress);
}

std::size_t
HttpClientPool::IdleConnections() const
{
  return shared_->idle.Size();
}

} // namespace teaselhold::transport
