// Destroys objects in a later iteration of the event loop, for connections that are closed from
// within one of their own callbacks.
//
// The objects must have stopped their timers and watchers. What is still held when this object is
// destroyed is destroyed with it.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "net/loop.h"

namespace deckhall {

template <typename Object>
class DeferredDeletion {
 public:
  explicit DeferredDeletion(Loop* loop) : timer_(loop, [this] { DestroyAll(); }) {}

  void Add(std::unique_ptr<Object> object) {
    objects_.push_back(std::move(object));
    if (!timer_.active()) timer_.Start(0);
  }

 private:
  // A destructor may add further objects.
  void DestroyAll() { std::exchange(objects_, {}).clear(); }

  std::vector<std::unique_ptr<Object>> objects_;
  Timer timer_;
};

}  // namespace deckhall
