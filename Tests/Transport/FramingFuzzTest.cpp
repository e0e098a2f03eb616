#include "Tests/Support/FreePort.h"
#include "Transport/HttpClientPool.h"
#include "Transport/HttpServer.h"
#include "Transport/SocketAddress.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

using namespace teaselhold;
using namespace teaselhold::transport;
namespace asio = boost::asio;
using asio::ip::tcp;

// Sends mutated messages through both parsers. Guards against input after which
// a process holds memory, a connection hangs or an answer is made up. The
// variables TEASELHOLD_FUZZ_RUNS and TEASELHOLD_FUZZ_SEED play it for longer.
// An input that failed goes into Tests/Golden/framing.

namespace {

constexpr std::uint64_t kMemoryBytes = 4ULL * 1024 * 1024;
constexpr std::uint64_t kMaxBody = 100000;

unsigned
FromEnvironment(const char* aName, unsigned aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::stoul(text);
}

std::vector<std::string>
ReadCorpus(const std::string& aPrefix)
{
  std::vector<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::directory_iterator(
         std::string(TEASELHOLD_GOLDEN_FOLDER) + "/framing")) {
    if (entry.path().filename().string().starts_with(aPrefix)) {
      paths.push_back(entry.path());
    }
  }
  std::ranges::sort(paths);
  std::vector<std::string> corpus;
  for (const auto& path : paths) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    text << file.rdbuf();
    corpus.push_back(text.str());
  }
  return corpus;
}

/// Makes inputs from a corpus; the same ones for the same seed.
class Mutator
{
public:
  Mutator(std::vector<std::string> aCorpus, unsigned aSeed)
    : corpus_(std::move(aCorpus))
    , random_(aSeed)
  {
  }

  std::string Next()
  {
    auto input = corpus_[Below(corpus_.size())];
    const auto changes = Below(4);
    for (std::size_t i = 0; i < changes; ++i) {
      Change(input);
    }
    return input;
  }

  std::size_t Below(std::size_t aBound)
  {
    return std::uniform_int_distribution<std::size_t>(0, aBound - 1)(random_);
  }

private:
  void Change(std::string& aInput)
  {
    static const std::vector<std::string> kTokens{
      "\r\n",  "\r",
      "\n",    "\r\n\r\n",
      "0\r\n", "ffffffffffffffff",
      ";",     "Content-Length: 99999999\r\n",
      ":",     "Transfer-Encoding: chunked\r\n",
      " ",     "Expect: 100-continue\r\n",
      "\t",    "Connection: close\r\n"
    };
    const auto place = Below(aInput.size() + 1);
    switch (Below(5)) {
      case 0:
        aInput.insert(place, kTokens[Below(kTokens.size())]);
        break;
      case 1:
        aInput.erase(place, 1 + Below(8));
        break;
      case 2:
        aInput.insert(place, 1, static_cast<char>(Below(256)));
        break;
      case 3: {
        // Repeats a part until it is longer than any limit.
        const auto part = aInput.substr(place, 1 + Below(32));
        std::string repeated;
        const auto times = 1 + Below(4000);
        for (std::size_t i = 0; i < times; ++i) {
          repeated += part;
        }
        aInput.insert(place, repeated);
        break;
      }
      default: {
        const auto& other = corpus_[Below(corpus_.size())];
        aInput.insert(place, other.substr(Below(other.size())));
      }
    }
  }

  std::vector<std::string> corpus_;
  std::mt19937 random_;
};

tcp::endpoint
EndpointOf(const std::string& aAddress)
{
  const auto address = *ParseSocketAddress(aAddress);
  return { asio::ip::make_address(address.host), address.port };
}

/// Waits until peers hold nothing any more.
bool
IsGivenBack(const PeerLimits& aLimits)
{
  for (int i = 0; i < 10000 && (aLimits.memory->Used() > 0 ||
                                aLimits.descriptors->Connections() > 0);
       ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return aLimits.memory->Used() == 0 && aLimits.descriptors->Connections() == 0;
}

/// Writes in parts and reads to the end.
/// @param aCloses the client closes its half after the input.
std::string
Play(const std::string& aAddress,
     const std::string& aInput,
     Mutator& aMutator,
     bool aCloses)
{
  asio::io_context context;
  tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(EndpointOf(aAddress));
  const auto first = aMutator.Below(aInput.size() + 1);
  asio::write(socket, asio::buffer(aInput.data(), first), error);
  asio::write(
    socket, asio::buffer(aInput.data() + first, aInput.size() - first), error);
  if (aCloses) {
    socket.shutdown(tcp::socket::shutdown_send, error);
  }
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

} // namespace

TEST_CASE("Mutated requests leave a server that holds nothing and serves")
{
  const auto seed = FromEnvironment("TEASELHOLD_FUZZ_SEED", 1);
  const auto runs = FromEnvironment("TEASELHOLD_FUZZ_RUNS", 60);
  const auto limits = std::make_shared<PeerLimits>(kMemoryBytes, 0);
  HttpServerOptions options;
  options.limits = limits;
  options.maxBodyBytes = kMaxBody;
  options.headerTimeout = std::chrono::milliseconds(500);
  options.bodyTimeout = std::chrono::milliseconds(500);
  options.idleTimeout = std::chrono::milliseconds(1);
  asio::io_context context{ 1 };
  const auto address = tests::FreeAddress();
  std::atomic<std::uint64_t> largest = 0;
  const auto server = *HttpServer::Listen(
    context,
    address,
    HttpServer::Handler(
      [&](HttpRequest aRequest) -> asio::awaitable<HttpResponse> {
        largest = std::max<std::uint64_t>(largest, aRequest.body().size());
        HttpResponse response;
        response.body() = "served";
        co_return response;
      }),
    options);
  std::thread thread([&] { context.run(); });
  Mutator mutator(ReadCorpus("request-"), seed);
  for (unsigned run = 0; run < runs; ++run) {
    const auto input = mutator.Next();
    const bool closes = mutator.Below(2) == 0;
    const auto answer = Play(address, input, mutator, closes);
    CAPTURE(seed, run, input.substr(0, 500));
    CHECK((answer.empty() || answer.starts_with("HTTP/1.1 ") ||
           answer.starts_with("HTTP/1.0 ")));
    REQUIRE(IsGivenBack(*limits));
  }
  CHECK(largest <= kMaxBody);
  const auto answer = Play(
    address, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", mutator, false);
  CHECK(answer.ends_with("served"));
  context.stop();
  thread.join();
}

TEST_CASE("Mutated answers end a call and leave a client that holds nothing")
{
  const auto seed = FromEnvironment("TEASELHOLD_FUZZ_SEED", 1);
  const auto runs = FromEnvironment("TEASELHOLD_FUZZ_RUNS", 300);
  const auto limits = std::make_shared<PeerLimits>(kMemoryBytes, 0);
  asio::io_context context{ 1 };
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const auto address =
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  HttpClientOptions options;
  options.limits = limits;
  options.rules.acceptsUnframed = true;
  Mutator mutator(ReadCorpus("answer-"), seed);
  std::size_t whole = 0;
  for (unsigned run = 0; run < runs; ++run) {
    HttpClientPool pool(context, options);
    const auto input = mutator.Next();
    const auto serve = [&]() -> asio::awaitable<void> {
      auto socket = co_await acceptor.async_accept(asio::use_awaitable);
      boost::system::error_code error;
      std::string request;
      co_await asio::async_read_until(
        socket,
        asio::dynamic_buffer(request),
        "\r\n\r\n",
        asio::redirect_error(asio::use_awaitable, error));
      co_await asio::async_write(
        socket,
        asio::buffer(input),
        asio::redirect_error(asio::use_awaitable, error));
    };
    const HttpRequest request(boost::beast::http::verb::get, "/", 11);
    const auto ask = [&]() -> asio::awaitable<bool> {
      const auto answer = co_await pool.Send(address,
                                             request,
                                             std::chrono::steady_clock::now() +
                                               std::chrono::seconds(10),
                                             nullptr);
      pool.CloseIdle(address);
      co_return answer.has_value();
    };
    asio::co_spawn(context, serve(), asio::detached);
    auto result = asio::co_spawn(context, ask(), asio::use_future);
    while (result.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready) {
      REQUIRE(context.run_one_for(std::chrono::seconds(20)) > 0);
    }
    context.poll();
    CAPTURE(seed, run, input.substr(0, 500));
    whole += result.get() ? 1 : 0;
    REQUIRE(limits->memory->Used() == 0);
    REQUIRE(limits->descriptors->Connections() == 0);
  }
  CHECK(whole > 0);
  CHECK(whole < runs);
}
