// Interface to the leadership lease of the current term, as known to the node that holds it.
//
// Guarantee: while the lease is valid, no other node can have begun a later term. Validity is
// determined by the holder's own steady clock. Implemented by Controller on top of Election; read
// by Leader and its components, which don't own it.
#pragma once

namespace deckhall {

// Read access to the lease of the current term.
class LeadershipLease {
 public:
  virtual ~LeadershipLease() = default;
  // Whether this node certainly leads at this moment.
  virtual bool IsLeaseValid() const = 0;
  // The steady time, in seconds, at which the lease expires unless it is renewed.
  virtual double LeaseValidUntil() const = 0;
};

}  // namespace deckhall
