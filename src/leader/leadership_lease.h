// The lease of the leader's term, as the node that holds it sees it.
//
// Guarantee: while the lease is valid, no other node can have begun a later term. Validity is
// judged by the holder's own steady clock. Implemented by Controller on top of Election; read by
// Leader and its parts, which own nothing of it.
#pragma once

namespace deckhall {

// Read access to the lease of the current term.
class LeadershipLease {
 public:
  virtual ~LeadershipLease() = default;
  // Whether this node surely leads at this moment.
  virtual bool IsLeaseValid() const = 0;
  // The steady time, in seconds, at which the lease expires unless it is renewed.
  virtual double LeaseValidUntil() const = 0;
};

}  // namespace deckhall
