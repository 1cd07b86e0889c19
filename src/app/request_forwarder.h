// Passes users' requests on to the leading controller.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "mesh/peer_network.h"
#include "net/clock.h"
#include "wire/types.h"

namespace deckhall {

// Requests may be carried out twice without harm. So one that the leader has not answered
// when another controller leads is sent again to that one, and the first answer of the new
// leader counts. When nobody leads any more, the user gets 503 soon and comes again.
class RequestForwarder {
 public:
  using Done = std::function<void(const JobResponse&)>;
  // Serves a request here; false when this controller does not lead.
  using ServeHere = std::function<bool(const JobRequest&, const Done&)>;

  RequestForwarder(PeerNetwork* peer_network, const Clock* clock, ServeHere serve_here);

  // Calls `done` once: at the latest after `timeout_s`, or, if this controller leads by then,
  // when the leader here has decided.
  void Send(JobRequest request, double timeout_s, Done done);
  // Follows changes of the leader; called often.
  void Tick();

 private:
  struct PendingRequest {
    JobRequest request;
    Done done;
    std::string target;  // the controller that was asked last
    double deadline = 0;
  };

  void SendToController(uint64_t id, const std::string& target);
  void Complete(uint64_t id, const JobResponse& response);
  // Sends on what another controller than the present leader was asked.
  void Redirect(const std::string& leader);

  PeerNetwork* peer_network_;
  const Clock* clock_;
  ServeHere serve_here_;
  std::map<uint64_t, PendingRequest> pending_;
  uint64_t next_id_ = 1;
  std::string leader_;           // as last seen; empty: none
  double leaderless_since_ = 0;  // while there is none
};

// The answer while no leader can be reached.
JobResponse NoLeaderResponse();

}  // namespace deckhall
