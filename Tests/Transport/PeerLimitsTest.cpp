#include "Tests/Support/FreePort.h"
#include "Transport/HttpServer.h"
#include "Transport/SocketAddress.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace teaselhold;
using namespace teaselhold::transport;
namespace asio = boost::asio;

namespace {

constexpr std::uint64_t kMegabyte = 1024ULL * 1024;
constexpr std::uint64_t kSmall = 32ULL * 1024;

MemoryBudget::HolderPointer
MakeHolder(const std::shared_ptr<MemoryBudget>& aBudget, unsigned aPeer)
{
  return std::make_shared<MemoryBudget::Holder>(
    aBudget, asio::ip::address_v4(0x0a000000 + aPeer));
}

/// Takes as much as the budget gives, in small steps.
void
TakeAll(MemoryBudget::Holder& aHolder)
{
  while (aHolder.TryTake(MemoryUse::Request, kSmall)) {
  }
}

/// Sends one request on a connection of its own.
/// @return the first line of the answer.
std::string
Ask(const std::string& aAddress, const std::vector<std::string>& aParts)
{
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  const auto address = *ParseSocketAddress(aAddress);
  socket.connect({ asio::ip::make_address(address.host), address.port });
  boost::system::error_code error;
  for (const auto& part : aParts) {
    asio::write(socket, asio::buffer(part), error);
  }
  std::string answer;
  asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n", error);
  return answer.substr(0, answer.find('\r'));
}

/// A server with a thread of its own that answers with the size of the body.
class SizeServer
{
public:
  explicit SizeServer(std::shared_ptr<PeerLimits> aLimits)
  {
    HttpServerOptions options;
    options.limits = std::move(aLimits);
    options.maxBodyBytes = 64 * kMegabyte;
    server_ = *HttpServer::Listen(
      context_,
      address_,
      HttpServer::Handler(
        [](HttpRequest aRequest) -> asio::awaitable<HttpResponse> {
          HttpResponse response;
          response.reason("OK-" + std::to_string(aRequest.body().size()));
          co_return response;
        }),
      options);
    thread_ = std::thread([this] { context_.run(); });
  }
  ~SizeServer()
  {
    context_.stop();
    thread_.join();
  }

  const std::string& Address() const { return address_; }

private:
  asio::io_context context_{ 1 };
  std::string address_ = tests::FreeAddress();
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

} // namespace

TEST_CASE("The smallest host holds one body of 64 MiB and not a second one")
{
  // Guards against a share of each connection that is below a single request
  // inside the limits.
  const auto budget = std::make_shared<MemoryBudget>(80 * kMegabyte);
  const auto first = MakeHolder(budget, 1);
  const auto second = MakeHolder(budget, 2);
  CHECK(first->TryTake(MemoryUse::Request, 64 * kMegabyte + kSmall));
  CHECK_FALSE(second->TryTake(MemoryUse::Request, 64 * kMegabyte));
  CHECK(second->TryTake(MemoryUse::Request, kMegabyte));
  first->GiveBack(64 * kMegabyte + kSmall);
  CHECK(second->TryTake(MemoryUse::Request, 60 * kMegabyte));
}

TEST_CASE("No number of connections takes what others need")
{
  // Guards against a caller, an address or a crowd that holds everything.
  const bool isOneAddress = GENERATE(false, true);
  const auto budget = std::make_shared<MemoryBudget>(80 * kMegabyte);
  std::vector<MemoryBudget::HolderPointer> crowd;
  for (unsigned i = 0; i < 40; ++i) {
    crowd.push_back(MakeHolder(budget, isOneAddress ? 1 : 100 + i));
    TakeAll(*crowd.back());
  }
  const auto ordinary = MakeHolder(budget, 2);
  CHECK(ordinary->TryTake(MemoryUse::Request, kSmallHolderBytes));
  if (isOneAddress) {
    CHECK(ordinary->TryTake(MemoryUse::Request, 2 * kMegabyte));
  }
  CHECK_FALSE(budget->Used() > budget->Limit());
}

TEST_CASE("A share is given back at the end of its scope")
{
  const auto budget = std::make_shared<MemoryBudget>(kMegabyte);
  {
    MemoryShare share(MakeHolder(budget, 1));
    CHECK(share.TryResize(MemoryUse::Request, 1000));
    CHECK(share.TryResize(MemoryUse::Request, 400));
    CHECK(budget->Used() == 400);
    CHECK_FALSE(share.TryResize(MemoryUse::Request, 2 * kMegabyte));
    CHECK(budget->Used() == 400);
    // What is stored already counts even beyond the limit.
    share.Resize(2 * kMegabyte);
    CHECK(budget->Used() == 2 * kMegabyte);
    CHECK(budget->IsTight());
  }
  CHECK(budget->Used() == 0);
}

TEST_CASE("Idle connections make way in their order, and then none is accepted")
{
  const auto budget = std::make_shared<DescriptorBudget>(264);
  std::vector<DescriptorBudget::LeasePointer> leases;
  std::vector<IdleKind> closed;
  bool hasIdle = true;
  budget->AddCloser([&](IdleKind aKind) {
    if (aKind == IdleKind::Silent || !hasIdle) {
      return false;
    }
    closed.push_back(aKind);
    return true;
  });
  while (closed.empty()) {
    leases.push_back(budget->Accept());
    REQUIRE(leases.back() != nullptr);
  }
  CHECK(closed == std::vector{ IdleKind::Pooled });
  hasIdle = false;
  CHECK(budget->Accept() == nullptr);
  // Requests that were accepted still reach their upstream.
  CHECK(budget->Connect() != nullptr);
  leases.clear();
  CHECK(budget->Accept() != nullptr);
  CHECK(budget->Connections() == 0);
}

TEST_CASE("A host without bounds accepts every connection and request")
{
  const auto budget = std::make_shared<DescriptorBudget>(0);
  std::vector<DescriptorBudget::LeasePointer> leases;
  for (int i = 0; i < 10000; ++i) {
    leases.push_back(budget->Accept());
    leases.push_back(budget->BeginRequest());
  }
  CHECK(
    std::ranges::none_of(leases, [](const auto& aLease) { return !aLease; }));
  CHECK(budget->MayReadAhead());
}

TEST_CASE("A single body of 64 MiB is served in calm")
{
  const std::string part(kMegabyte, 'x');
  {
    // The budget of a host with 160 MB.
    const auto limits = std::make_shared<PeerLimits>(80 * kMegabyte, 0);
    const SizeServer server(limits);
    std::vector<std::string> request{
      "PUT / HTTP/1.1\r\nConnection: close\r\nContent-Length: 67108864\r\n\r\n"
    };
    request.insert(request.end(), 64, part);
    CHECK(Ask(server.Address(), request) == "HTTP/1.1 200 OK-67108864");
    CHECK(Ask(server.Address(), request) == "HTTP/1.1 200 OK-67108864");
  }
  const auto limits = std::make_shared<PeerLimits>(128 * kMegabyte, 0);
  const SizeServer server(limits);
  std::vector<std::string> request{
    "PUT / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
  };
  request.insert(request.end(), 64, "100000\r\n" + part + "\r\n");
  request.emplace_back("0\r\n\r\n");
  CHECK(Ask(server.Address(), request) == "HTTP/1.1 200 OK-67108864");
  CHECK(limits->Counts() == PeerRefusalCounts{});
}

TEST_CASE("Trailers and extensions are bound by the limit of the head")
{
  const auto limits = std::make_shared<PeerLimits>(16 * kMegabyte, 0);
  const SizeServer server(limits);
  const std::string head =
    "PUT / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK(
    Ask(server.Address(),
        { head, "1\r\nx\r\n0\r\nA: " + std::string(15000, 'b'), "\r\n\r\n" }) ==
    "HTTP/1.1 200 OK-1");
  CHECK(Ask(server.Address(),
            { head, "1\r\nx\r\n0\r\nA: " + std::string(30000, 'b') }) ==
        "HTTP/1.1 431 Request Header Fields Too Large");
  std::string chunks;
  for (int i = 0; i < 2000; ++i) {
    chunks += "1;abcdefgh\r\nx\r\n";
  }
  CHECK(Ask(server.Address(), { head, chunks }) ==
        "HTTP/1.1 431 Request Header Fields Too Large");
}
