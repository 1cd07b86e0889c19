// HTTP server and client over real sockets on the loopback interface.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet/http_worker_client.h"
#include "message_rules.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace deckhall {
namespace {

// Returns a port that is free at present.
Endpoint FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&address), size), 0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return {"127.0.0.1", ntohs(address.sin_port)};
}

void RunFor(Loop* loop, double seconds) {
  Timer stop(loop, [loop] { loop->Stop(); });
  stop.Start(seconds);
  loop->Run();
}

// A connection whose request is being served is never closed for a new one. With a whole fleet on
// one controller, new connections keep coming.
TEST(HttpServer, LongestIdleConnectionIsClosedAtConnectionLimit) {
  Loop loop;
  const Endpoint address = FreePort();
  HttpServerLimits limits;
  limits.connections = 3;
  HttpServer::Reply pending_reply;
  HttpServer server(&loop, address, limits,
                    [&pending_reply](const HttpMessage& request, HttpServer::Reply reply) {
                      if (request.target == "/slow") {
                        pending_reply = std::move(reply);
                      } else {
                        reply(HttpResponse());
                      }
                    });
  HttpClient slow(&loop, 1, 1000);
  int slow_status = -1;
  slow.Call(address, {"GET", "/slow", "", 5},
            [&slow_status](const HttpResult& result) { slow_status = result.status; });
  RunFor(&loop, 0.05);
  std::vector<int> status(4, -1);
  std::vector<std::unique_ptr<HttpClient>> clients;
  for (int& client_status : status) {
    clients.push_back(std::make_unique<HttpClient>(&loop, 1, 1000));
    clients.back()->Call(address, {"GET", "/", "", 5}, [&client_status](const HttpResult& result) {
      client_status = result.status;
    });
    RunFor(&loop, 0.05);
  }
  EXPECT_EQ(status, std::vector<int>(4, 200));
  EXPECT_EQ(server.over_limit_connections(), 2U);
  EXPECT_EQ(clients[0]->connections(), 0U);
  EXPECT_EQ(clients[1]->connections(), 0U);
  EXPECT_EQ(clients[3]->connections(), 1U);
  ASSERT_TRUE(pending_reply);
  pending_reply(HttpResponse());
  RunFor(&loop, 0.05);
  EXPECT_EQ(slow_status, 200);
}

// A call that failed locally was completed by a timer of its own. A further failing call from
// within its callback destroyed that timer, together with the callback that was running.
TEST(HttpClientTest, CallFailingWithinTheCallbackOfAFailedCallKeepsThatCallback) {
  Loop loop;
  HttpClient client(&loop, 0, 1000);  // no connection is available
  const Endpoint nowhere{"127.0.0.1", 1};
  auto captured = std::make_shared<int>(0);
  const std::weak_ptr<int> observer = captured;
  bool kept = false;
  client.Call(nowhere, {"GET", "/", "", 1}, [&, captured](const HttpResult&) {
    client.Call(nowhere, {"GET", "/", "", 1}, [&loop](const HttpResult&) { loop.Stop(); });
    kept = !observer.expired();
  });
  captured.reset();
  Timer timeout(&loop, [&loop] { loop.Stop(); });
  timeout.Start(2);
  loop.Run();
  EXPECT_TRUE(kept);
  EXPECT_TRUE(timeout.active()) << "the second call was not completed";
}

// A worker that answers with a 4xx status is reachable and executed nothing. Only 409 has its
// state.
TEST(HttpWorkerClient, RefusalIsNoMissingResponse) {
  Loop loop;
  const Endpoint address = FreePort();
  int status = 413;
  HttpServer server(&loop, address, HttpServerLimits(),
                    [&status](const HttpMessage&, const HttpServer::Reply& reply) {
                      HttpResponse response;
                      response.status = status;
                      response.body = "{}";
                      reply(response);
                    });
  HttpWorkerClient client(&loop, 1);
  const auto send = [&] {
    WorkerResponse received;
    client.SendCommands(address.Text(), 1, 1, {}, 5, [&](const WorkerResponse& response) {
      received = response;
      loop.Stop();
    });
    RunFor(&loop, 5);
    return received;
  };
  const WorkerResponse refused = send();
  EXPECT_TRUE(refused.refused);
  EXPECT_EQ(refused.status, 413);
  status = 409;
  EXPECT_FALSE(send().refused);
  status = 503;
  EXPECT_FALSE(send().refused);
}

// What is longer than PROTOCOL allows is refused, just beyond the limit.
TEST(HttpServer, BodyIsReadUpToTheLimitOfProtocol) {
  Loop loop;
  const Endpoint address = FreePort();
  HttpServer server(
      &loop, address, HttpServerLimits(),
      [](const HttpMessage&, const HttpServer::Reply& reply) { reply(HttpResponse()); });
  HttpClient client(&loop, 1, 1000);
  const auto status_of = [&](size_t body_bytes) {
    int status = 0;
    client.Call(address, {"POST", "/checkin", std::string(body_bytes, 'x'), 5},
                [&](const HttpResult& result) {
                  status = result.status;
                  loop.Stop();
                });
    RunFor(&loop, 5);
    return status;
  };
  EXPECT_EQ(status_of(kProtocolMessageBytes - 1), 200);
  EXPECT_EQ(status_of(kProtocolMessageBytes), 200);
  EXPECT_EQ(status_of(kProtocolMessageBytes + 1), 413);
}

}  // namespace
}  // namespace deckhall
