#include "Tests/Services/Crowd.h"
#include "Tests/Services/Mesh.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <future>

using namespace teaselhold::tests;

// Guards against the fault of a trial in which peers that keep to no limit
// ended a process: it held without bound what they sent. The bounds are the
// settings' own limits, which are lowered so that a few peers exceed them.

namespace {

constexpr std::size_t kMemoryMegabytes = 64;
constexpr std::size_t kMaxDescriptors = 320;
/// The other descriptors are reserved for files.
constexpr std::size_t kMaxSockets = kMaxDescriptors - 200;
constexpr std::size_t kPeers = 8;
constexpr std::size_t kMegabyte = 1024UL * 1024;
constexpr std::size_t kSentBytes = 24 * kMegabyte;
constexpr const char* kHostSettings =
  "[host]\nmemory_megabytes = 64\nmax_descriptors = 320\n";

constexpr const char* kChunkedHead = "POST /visits/a HTTP/1.1\r\nHost: node\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n";
constexpr const char* kChunkedAnswer =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Form
{
  std::string name;
  Sending sending;
};

Sending
Endless(const std::string& aStart, const std::string& aUnit)
{
  constexpr std::size_t kPieceBytes = 65536;
  std::string piece;
  while (piece.size() < kPieceBytes) {
    piece += aUnit;
  }
  return { aStart, std::move(piece), kSentBytes };
}

/// Forms that are the same for both directions, behind a chunked head.
std::vector<Form>
FramingForms(const std::string& aHead)
{
  return {
    { "many trailers", Endless(aHead + "1\r\nx\r\n0\r\n", "A: bbbbbbbb\r\n") },
    { "one endless trailer",
      Endless(aHead + "1\r\nx\r\n0\r\nA: ", "bbbbbbbb") },
    { "an endless extension", Endless(aHead + "1;", "abcdefgh") },
    { "many extensions", Endless(aHead, "1;abcdefgh\r\nx\r\n") },
    { "an endless chunk size", Endless(aHead, "00000000") },
  };
}

std::vector<Form>
CallerForms()
{
  auto forms = FramingForms(kChunkedHead);
  forms.push_back({ "an endless header",
                    Endless("GET /passes/a HTTP/1.1\r\nA: ", "bbbbbbbb") });
  forms.push_back({ "many headers",
                    Endless("GET /passes/a HTTP/1.1\r\n", "A: bbbbbbbb\r\n") });
  forms.push_back({ "an endless target", Endless("GET /passes/", "aaaaaaaa") });
  return forms;
}

/// A request whose last byte does not come.
Sending
NearlyWholeBody(std::size_t aBytes)
{
  return { "POST /long/a HTTP/1.1\r\nHost: node\r\nContent-Length: " +
             std::to_string(aBytes + 1) + "\r\n\r\n",
           std::string(aBytes, 'x'),
           aBytes };
}

/// Watches one node while a crowd is at it.
class Watch
{
public:
  explicit Watch(Mesh::Node& aNode)
    : node_(aNode)
  {
  }

  void WaitFor(const Crowd& aCrowd)
  {
    CHECK(WaitUntil([&] {
      Sample();
      return aCrowd.IsThrough();
    }));
    Check();
  }

  void Sample()
  {
    const auto usage = UsageOf(*node_.node);
    sockets_ = std::max(sockets_, usage.sockets);
    descriptors_ = std::max(descriptors_, usage.descriptors);
    peakMegabytes_ = std::max(peakMegabytes_, usage.peakMegabytes);
  }

  /// Checks the bounds, and that an ordinary request is answered.
  void Check()
  {
    Sample();
    CHECK(node_.node->IsRunning());
    CHECK(peakMegabytes_ <= kMemoryMegabytes);
    CHECK(sockets_ <= kMaxSockets);
    CHECK(descriptors_ <= kMaxDescriptors);
    CHECK(WaitUntil([&] { return IsServed(node_.caller); }));
  }

private:
  Mesh::Node& node_;
  std::size_t peakMegabytes_ = 0;
  std::size_t sockets_ = 0;
  std::size_t descriptors_ = 0;
};

void
PlayForms(const std::vector<Form>& aForms, std::string Mesh::Node::*aAddress)
{
  Mesh mesh(1, kHostSettings);
  for (const auto& form : aForms) {
    INFO(form.name);
    {
      const Crowd crowd(mesh[0].*aAddress, kPeers, form.sending);
      Watch(mesh[0]).WaitFor(crowd);
    }
    // Each form has a process of its own, whose peak is this form's.
    mesh.RestartNode(mesh[0]);
    CHECK(WaitUntil([&] { return IsServed(mesh[0].caller); }));
  }
}

} // namespace

TEST_CASE("Callers that send framing without end stay within the memory")
{
  PlayForms(CallerForms(), &Mesh::Node::caller);
}

TEST_CASE("Peers that send framing without end to the node port stay within "
          "the memory")
{
  PlayForms(CallerForms(), &Mesh::Node::data);
}

TEST_CASE("Whole bodies that come at once stay within the memory together")
{
  auto address = GENERATE(&Mesh::Node::caller, &Mesh::Node::data);
  Mesh mesh(1, kHostSettings);
  const Crowd crowd(mesh[0].*address, kPeers, NearlyWholeBody(15 * kMegabyte));
  Watch(mesh[0]).WaitFor(crowd);
}

TEST_CASE("Whole chunked bodies that come at once stay within the memory")
{
  Mesh mesh(1, kHostSettings);
  const std::string chunk = "10000\r\n" + std::string(65536, 'x') + "\r\n";
  const Crowd crowd(
    mesh[0].caller, kPeers, { kChunkedHead, chunk, 15 * kMegabyte });
  Watch(mesh[0]).WaitFor(crowd);
}

TEST_CASE("Many heads of small fields stay within the memory")
{
  // A field of four bytes takes far more memory than it has bytes.
  std::string head = "POST /long/a HTTP/1.1\r\nHost: node\r\n"
                     "Content-Length: 10\r\n";
  while (head.size() < 16000) {
    head += "A:\r\n";
  }
  Mesh mesh(1, kHostSettings);
  const Crowd crowd(mesh[0].caller, 300, { head + "\r\n", "", 0 });
  Watch(mesh[0]).WaitFor(crowd);
}

TEST_CASE("Answers that nobody reads stay within the memory and descriptors")
{
  // The stand-in echoes the body. The second node runs all requests, so the
  // first one needs a connection for each.
  Mesh mesh(2, kHostSettings);
  mesh[0].upstream.reset();
  const std::string request =
    "POST /long/a HTTP/1.1\r\nHost: node\r\nContent-Length: 1048576\r\n\r\n" +
    std::string(kMegabyte, 'x');
  const Crowd crowd(mesh[0].caller, kPeers, { "", request, kSentBytes });
  Watch(mesh[0]).WaitFor(crowd);
  // A caller that reads nothing holds no answer for good.
  CHECK(WaitUntil([&] { return crowd.CutOff() == kPeers; }));
  Watch(mesh[1]).Check();
}

TEST_CASE("Requests sent ahead without end stay within the descriptors")
{
  Mesh mesh(2, kHostSettings);
  mesh[0].upstream.reset();
  constexpr std::size_t kRequestsAhead = 300;
  std::string requests;
  for (std::size_t i = 0; i < kRequestsAhead; ++i) {
    requests += "GET /passes/slow HTTP/1.1\r\nHost: node\r\n\r\n";
  }
  const Crowd crowd(
    mesh[0].caller, 3 * kPeers, { "", requests, requests.size() });
  Watch(mesh[0]).WaitFor(crowd);
  Watch(mesh[1]).Check();
}

TEST_CASE("Silent connections stay within the descriptors")
{
  auto address = GENERATE(&Mesh::Node::caller, &Mesh::Node::data);
  Mesh mesh(1, kHostSettings);
  const Crowd crowd(mesh[0].*address, 400, { "", "", 0 });
  Watch(mesh[0]).WaitFor(crowd);
}

TEST_CASE("A slow sender is cut off")
{
  auto address = GENERATE(&Mesh::Node::caller, &Mesh::Node::data);
  const std::vector<Form> forms{
    { "a header byte by byte",
      { "GET /passes/a HTTP/1.1\r\nA: ",
        "b",
        kSentBytes,
        std::chrono::milliseconds(100) } },
    // The answer to the first request must not end the limit of the second.
    { "a second header byte by byte",
      { "GET /passes/a HTTP/1.1\r\nHost: node\r\n\r\n"
        "GET /passes/a HTTP/1.1\r\nA: ",
        "b",
        kSentBytes,
        std::chrono::milliseconds(100) } },
    { "a body byte by byte",
      { "POST /visits/a HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n",
        "b",
        kSentBytes,
        std::chrono::milliseconds(100) } },
    { "a body in chunks of one byte",
      { kChunkedHead,
        "1\r\nb\r\n",
        kSentBytes,
        std::chrono::milliseconds(100) } },
  };
  Mesh mesh(1, kHostSettings);
  for (const auto& form : forms) {
    INFO(form.name);
    const Crowd crowd(mesh[0].*address, kPeers, form.sending);
    CHECK(WaitUntil([&] { return crowd.CutOff() == kPeers; }));
    Watch(mesh[0]).Check();
  }
}

TEST_CASE("An upstream that answers without end is held to the memory")
{
  auto forms = FramingForms(kChunkedAnswer);
  forms.push_back(
    { "an endless header", Endless("HTTP/1.1 200 OK\r\nA: ", "bbbbbbbb") });
  forms.push_back(
    { "many headers", Endless("HTTP/1.1 200 OK\r\n", "A: bbbbbbbb\r\n") });
  forms.push_back(
    { "interim answers", Endless("", "HTTP/1.1 102 Processing\r\n\r\n") });
  forms.push_back(
    { "a body without end",
      Endless("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n",
              "bbbbbbbb") });
  forms.push_back({ "large bodies",
                    { "HTTP/1.1 200 OK\r\nContent-Length: 15728641\r\n\r\n",
                      std::string(kMegabyte, 'b'),
                      15 * kMegabyte } });
  Mesh mesh(1, kHostSettings);
  auto& node = mesh[0];
  for (const auto& form : forms) {
    INFO(form.name);
    node.upstream->Kill();
    {
      const ForeignUpstream upstream(node.upstreamAddress, form.sending);
      std::vector<std::future<bool>> calls;
      for (std::size_t i = 0; i < kPeers; ++i) {
        calls.push_back(std::async(std::launch::async,
                                   [&] { return IsServed(node.caller); }));
      }
      for (auto& call : calls) {
        CHECK_FALSE(call.get());
      }
    }
    mesh.StartUpstream(node);
    Watch(node).Check();
  }
}
