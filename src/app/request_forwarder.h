// Forwards users' requests to the leading controller, and to the new leader after a failover.
//
// Guarantees and invariants:
//  - The callback of each request is called once.
//  - Users' requests are idempotent, so a request that is still pending at a failover is sent again
//    to the new leader. From then on responses of the former leader are ignored: they might
//    contradict what the new leader has decided.
//  - When there is no leader for longer than a grace period, all pending requests get 503, and
//    users retry.
//
// Owned by `Controller`. Single-threaded; all times are seconds of the steady clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "mesh/peer_network.h"
#include "net/clock.h"
#include "wire/types.h"

namespace deckhall {

class RequestForwarder {
 public:
  using JobResponseCallback = std::function<void(const JobResponse&)>;
  // Serves a request on this controller; returns false if this controller does not lead.
  using LocalServer = std::function<bool(const JobRequest&, const JobResponseCallback&)>;

  // The pointers must outlive this object.
  RequestForwarder(PeerNetwork* peer_network, const Clock* clock, LocalServer serve_locally);

  // Sends the request to the leader. `done` is called after `timeout_s` seconds at the latest or,
  // if this controller becomes leader meanwhile, when its own leader has responded.
  void Send(JobRequest request, double timeout_s, JobResponseCallback done);
  // Redirects or fails pending requests after a leader change. Called periodically.
  void Tick();

 private:
  struct PendingRequest {
    JobRequest request;
    JobResponseCallback done;
    std::string target;  // label of the controller that the request was last sent to
    double deadline = 0;
  };

  void SendTo(const std::string& target, uint64_t request_id);
  void Complete(uint64_t request_id, const JobResponse& response);
  // Sends the requests that are pending at other controllers to the new leader, or serves them
  // here.
  void Redirect(const std::string& leader);
  // Completes all pending requests with 503.
  void FailAll();

  PeerNetwork* peer_network_;
  const Clock* clock_;
  LocalServer serve_locally_;
  std::map<uint64_t, PendingRequest> pending_;  // by request id
  uint64_t next_request_id_ = 1;
  std::string leader_;           // label of the last known leader; empty if none
  double leaderless_since_ = 0;  // valid only while `leader_` is empty
};

// The response while no leader can be reached: 503.
JobResponse NoLeaderResponse();

}  // namespace deckhall
