// What the golden tests share: comparison of what was read with what is expected, field by field.
#pragma once

#include <gtest/gtest.h>

#include "wire/types.h"

namespace deckhall {

inline void ExpectSameJob(const JobSpec& read, const JobSpec& expected) {
  EXPECT_EQ(read.id, expected.id);
  EXPECT_EQ(read.job_class, expected.job_class);
  EXPECT_EQ(read.team, expected.team);
  EXPECT_EQ(read.service, expected.service);
  EXPECT_EQ(read.gang, expected.gang);
  EXPECT_EQ(read.priority, expected.priority);
  EXPECT_EQ(read.tasks, expected.tasks);
  EXPECT_EQ(read.cores, expected.cores);
  EXPECT_EQ(read.gpus, expected.gpus);
  EXPECT_EQ(read.memory_gb, expected.memory_gb);
  EXPECT_EQ(read.image, expected.image);
  EXPECT_EQ(read.image_gb, expected.image_gb);
  EXPECT_EQ(read.types, expected.types);
  EXPECT_EQ(read.zone, expected.zone);
  EXPECT_EQ(read.one_zone, expected.one_zone);
  EXPECT_EQ(read.apart, expected.apart);
  EXPECT_EQ(read.spot, expected.spot);
  EXPECT_EQ(read.estimate_s, expected.estimate_s);
  EXPECT_EQ(read.checkpoint_s, expected.checkpoint_s);
  EXPECT_EQ(read.save_s, expected.save_s);
  EXPECT_EQ(read.deadline_s, expected.deadline_s);
}

}  // namespace deckhall
