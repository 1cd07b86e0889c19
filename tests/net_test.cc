// Sockets on the loopback interface: what no fake can stand in for.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_client.h"
#include "net/http_server.h"

namespace deckhall {
namespace {

// A port that was free a moment ago.
Endpoint FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&at), size), 0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  close(fd);
  return {"127.0.0.1", ntohs(at.sin_port)};
}

void RunFor(Loop* loop, double seconds) {
  Timer stop(loop, [loop] { loop->Stop(); });
  stop.Start(seconds);
  loop->Run();
}

// With all connections taken, the one idle longest makes room, and whoever is being
// answered keeps its own: with a whole fleet on one controller there is always a next.
TEST(HttpServer, AFullTableDropsTheConnectionIdleLongest) {
  Loop loop;
  const Endpoint at = FreePort();
  HttpServerLimits limits;
  limits.connections = 3;
  HttpServer::Reply waiting;
  HttpServer server(&loop, at, limits, [&waiting](const HttpMessage& m, HttpServer::Reply reply) {
    if (m.target == "/slow") {
      waiting = std::move(reply);
    } else {
      reply(HttpAnswer());
    }
  });
  HttpClient slow(&loop, 1, 1000);
  int slow_status = -1;
  slow.Call(at, {"GET", "/slow", "", 5},
            [&slow_status](const HttpResult& r) { slow_status = r.status; });
  RunFor(&loop, 0.05);
  std::vector<int> status(4, -1);
  std::vector<std::unique_ptr<HttpClient>> clients;
  for (int& s : status) {
    clients.push_back(std::make_unique<HttpClient>(&loop, 1, 1000));
    clients.back()->Call(at, {"GET", "/", "", 5}, [&s](const HttpResult& r) { s = r.status; });
    RunFor(&loop, 0.05);
  }
  EXPECT_EQ(status, std::vector<int>(4, 200));
  EXPECT_EQ(server.pushed_out(), 2U);
  EXPECT_EQ(clients[0]->connections(), 0U);
  EXPECT_EQ(clients[1]->connections(), 0U);
  EXPECT_EQ(clients[3]->connections(), 1U);
  ASSERT_TRUE(waiting);
  waiting(HttpAnswer());
  RunFor(&loop, 0.05);
  EXPECT_EQ(slow_status, 200);
}

}  // namespace
}  // namespace deckhall
