// Input that is nested too deep is refused before anything recursive sees it.
#include "base/bounded_json.h"

#include <gtest/gtest.h>

#include "base/json_schema.h"

namespace pebblespindle {
namespace {

std::string nested_list(int depth) {
  return std::string(std::size_t(depth), '[') + std::string(std::size_t(depth), ']');
}

std::string nested_object(int depth) {
  std::string text;
  for (int level = 0; level < depth; ++level) text += "{\"a\":";
  return text + "1" + std::string(std::size_t(depth), '}');
}

// Guards against a controller that ends on a body nested 300,000 deep.
TEST(BoundedJson, ATextNestedTooDeepIsRefused) {
  for (const auto& nested : {nested_list, nested_object}) {
    EXPECT_TRUE(bool(parse_json(nested(kMaxJsonDepth))));
    EXPECT_EQ(parse_json(nested(kMaxJsonDepth + 1)).status().code(), StatusCode::kInvalidArgument);
    EXPECT_EQ(parse_json(nested(300000)).status().code(), StatusCode::kInvalidArgument);
    EXPECT_FALSE(parse_message(nested(300000)).is_object());
  }
}

TEST(BoundedJson, SiblingsDoNotCountAsLevels) {
  std::string text = "[";
  for (int item = 0; item < 1000; ++item) text += "[[]],";
  EXPECT_TRUE(bool(parse_json(text + "[]]")));
}

TEST(BoundedJson, WhatIsNoJsonIsRefused) {
  for (const char* text : {"", "{", "[1,]", "{\"a\":1}x", "\"\xff\""}) {
    EXPECT_FALSE(bool(parse_json(text))) << text;
    EXPECT_TRUE(parse_message(text).is_discarded()) << text;
  }
}

}  // namespace
}  // namespace pebblespindle
