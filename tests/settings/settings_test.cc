#include "settings/settings.h"

#include <gtest/gtest.h>

namespace pebblespindle::test {
namespace {

TEST(Settings, SayInOneLineWhatIsWrong) {
  const char* good =
      R"({"NodeName":"n","IpAddress":"10.0.0.1","Zone":"z","Listeners":{"Frontend":"10.0.0.1:80"},
    "InternalPortRange":[7440,7455],"SeedNodes":["10.0.0.2:80"],"Unknown":{"x":1}})";
  EXPECT_TRUE(read_settings(good)) << read_settings(good).status().message();
  for (auto [from, to] : {std::pair{"\"NodeName\":\"n\",", ""},
                          {"10.0.0.2:80", "10.0.0.2"},
                          {"[7440,7455]", "[7440]"},
                          {"{\"Node", "{{"},
                          {"[7440,7455]", "[7440,7440]"}}) {
    std::string text = good;
    text.replace(text.find(from), std::strlen(from), to);
    auto s = read_settings(text);
    EXPECT_FALSE(s) << text;
    EXPECT_EQ(s.status().message().find('\n'), std::string::npos);
  }
}

}  // namespace
}  // namespace pebblespindle::test
