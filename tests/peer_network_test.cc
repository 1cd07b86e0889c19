// The parts of the peer network that other tests cover only through a whole cluster: splitting of
// the byte stream, routes and timeouts.
#include "mesh/peer_network.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fakes.h"
#include "mesh/frame_reader.h"

namespace deckhall {
namespace {

std::string Encoded(uint64_t id, const std::string& target) {
  PeerFrame frame;
  frame.id = id;
  frame.target = target;
  std::string bytes;
  EncodeFrame(frame, &bytes);
  return bytes;
}

TEST(FrameReader, FramesAreReadInOrderHoweverTheBytesAreSplit) {
  const std::string bytes = Encoded(1, "n1") + Encoded(2, "n2") + Encoded(3, "n3");
  for (const size_t chunk_bytes : {size_t{1}, size_t{3}, bytes.size()}) {
    FrameReader reader;
    std::vector<uint64_t> ids;
    for (size_t position = 0; position < bytes.size(); position += chunk_bytes) {
      const std::string chunk = bytes.substr(position, chunk_bytes);
      EXPECT_TRUE(reader.Read(chunk, [&ids](const PeerFrame& frame) { ids.push_back(frame.id); }));
    }
    EXPECT_EQ(ids, (std::vector<uint64_t>{1, 2, 3})) << "in chunks of " << chunk_bytes;
  }
}

TEST(FrameReader, TooLargeOrUndecodableFrameIsReported) {
  const auto ignore = [](const PeerFrame&) {};
  FrameReader too_large;
  EXPECT_FALSE(too_large.Read("\xff\xff\xff\x7f", ignore));
  FrameReader undecodable;
  EXPECT_FALSE(undecodable.Read(std::string("\x08\0\0\0", 4) + "notframe", ignore));
}

TEST(FrameReader, IncompleteFrameIsDroppedByReset) {
  FrameReader reader;
  std::vector<uint64_t> ids;
  const auto record = [&ids](const PeerFrame& frame) { ids.push_back(frame.id); };
  EXPECT_TRUE(reader.Read(Encoded(1, "n1").substr(0, 10), record));
  reader.Reset();
  EXPECT_TRUE(reader.Read(Encoded(2, "n1"), record));
  EXPECT_EQ(ids, std::vector<uint64_t>{2});
}

struct FakeTransport : PeerTransport {
  std::vector<std::pair<size_t, PeerFrame>> sent;
  std::vector<bool> connected = {true, true};

  bool IsConnected(size_t peer) const override { return connected[peer]; }
  void Send(size_t peer, const PeerFrame& frame) override { sent.emplace_back(peer, frame); }
};

// The controller n0 with the peers n1 (0) and n2 (1).
class PeerNetworkTest : public testing::Test {
 protected:
  // Lets the peer respond to a ping now.
  void RespondToPing(size_t peer, PeerPing ping) {
    PeerFrame frame;
    frame.id = 1;
    frame.body = std::move(ping);
    network_.HandleResponse(peer, frame);
  }
  static PeerPing PingReaching(std::vector<std::string> labels) {
    PeerPing ping;
    ping.reachable_peers = std::move(labels);
    return ping;
  }
  void Call(const std::string& label, double timeout_s) {
    network_.rpc().Call(label, JobRequest(), timeout_s, [this](PeerMessage response) {
      responses_.push_back(std::move(response));
    });
  }
  // Passes a frame of a peer to n0 and returns the response, if it comes at once.
  std::vector<PeerFrame> Receive(const std::string& target, uint8_t hops) {
    std::vector<PeerFrame> responses;
    PeerFrame frame;
    frame.id = 77;
    frame.target = target;
    frame.hops = hops;
    frame.body = JobRequest();
    network_.HandleRequest(
        frame, [&responses](const PeerFrame& response) { responses.push_back(response); });
    return responses;
  }

  FakeClock clock_;
  FakeTransport transport_;
  std::vector<PeerMessage> responses_;
  PeerNetwork network_{
      &transport_,
      &clock_,
      "n0",
      7,
      {{"n1", "east", {}}, {"n2", "west", {}}},
      2,
      [](const PeerMessage&, const PeerRpc::ResponseCallback& respond) { respond(JobResponse()); }};
};

TEST_F(PeerNetworkTest, CallWithoutRouteFailsAtNextTick) {
  Call("n1", 2);
  EXPECT_TRUE(responses_.empty());
  EXPECT_TRUE(transport_.sent.empty());
  network_.Tick();
  ASSERT_EQ(responses_.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<NoResponse>(responses_[0]));
}

TEST_F(PeerNetworkTest, CallGetsItsResponseOrFailsAtItsTimeout) {
  RespondToPing(0, PeerPing());
  Call("n1", 2);
  Call("n1", 2);
  ASSERT_EQ(transport_.sent.size(), 2U);
  PeerFrame response;
  response.id = transport_.sent[1].second.id;
  response.body = JobResponse();
  network_.HandleResponse(0, response);
  ASSERT_EQ(responses_.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<JobResponse>(responses_[0]));
  clock_.now += 1.9;
  network_.Tick();
  EXPECT_EQ(responses_.size(), 1U);
  clock_.now += 0.2;
  network_.Tick();
  ASSERT_EQ(responses_.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<NoResponse>(responses_[1]));
  network_.HandleResponse(0, response);  // a repeat is ignored
  EXPECT_EQ(responses_.size(), 2U);
}

TEST_F(PeerNetworkTest, CallGoesThroughPeerThatReachesTarget) {
  RespondToPing(1, PingReaching({"n1"}));
  Call("n1", 2);
  ASSERT_EQ(transport_.sent.size(), 1U);
  EXPECT_EQ(transport_.sent[0].first, 1U);
  EXPECT_EQ(transport_.sent[0].second.target, "n1");
  EXPECT_EQ(transport_.sent[0].second.hops, 0);
}

TEST_F(PeerNetworkTest, RequestForAnotherControllerIsForwardedOnce) {
  RespondToPing(0, PeerPing());
  EXPECT_TRUE(Receive("n1", 0).empty());
  ASSERT_EQ(transport_.sent.size(), 1U);
  EXPECT_EQ(transport_.sent[0].first, 0U);
  EXPECT_EQ(transport_.sent[0].second.hops, 1);
  const std::vector<PeerFrame> refused = Receive("n1", 1);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].id, 77U);
  EXPECT_TRUE(std::holds_alternative<NoResponse>(refused[0].body));
  const std::vector<PeerFrame> served = Receive("n0", 1);
  ASSERT_EQ(served.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<JobResponse>(served[0].body));
}

TEST_F(PeerNetworkTest, CallsBeyondTheLimitAreNotSent) {
  RespondToPing(0, PeerPing());
  for (int i = 0; i < 3; ++i) Call("n1", 2);
  EXPECT_EQ(transport_.sent.size(), 2U);
  network_.Tick();
  EXPECT_EQ(responses_.size(), 1U);
}

}  // namespace
}  // namespace deckhall
