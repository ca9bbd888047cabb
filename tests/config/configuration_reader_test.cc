#include "config/configuration_reader.h"

#include <gtest/gtest.h>

#include <random>

#include "config/cluster_state.h"
#include "config/command_validation.h"
#include "replication/encoded_messages.h"

namespace pebblespindle::test {
namespace {

const std::string kConfig =
    R"({"Revision":3,"Routes":[{"Name":"r","Hostname":"h","PathPrefix":"/","RouteType":"primary",
  "TimeoutMs":1000,"TargetService":"s"}],"Services":[{"Name":"s"}]})";

std::string changed(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

const std::string kMeshConfig =
    R"({"Revision":3,"Routes":[
  {"Name":"a","Hostname":"h.example","PathPrefix":"/x/","RouteType":"idempotent","TimeoutMs":1000,"TargetService":"s"},
  {"Name":"b","Hostname":"h.example","PathPrefix":"/x/y/","RouteType":"non_idempotent","TimeoutMs":700,
   "WeightedTargets":[{"TargetService":"s","Weight":90},{"TargetService":"t","Weight":10}]}],
  "Services":[{"Name":"s"},{"Name":"t"}],"Limits":{"MaxHeaderBytes":16384,"IdleTimeoutMs":15000}})";

// Each case replaces one part of a valid configuration and has to be refused.
TEST(ConfigurationReader, EveryInvalidCaseIsRefused) {
  ASSERT_TRUE(read_configuration(kConfig)) << read_configuration(kConfig).status().message();
  ASSERT_TRUE(read_configuration(kMeshConfig)) << read_configuration(kMeshConfig).status().message();
  struct Case {
    const std::string& valid;
    const char *original, *replacement;
  };
  for (auto& test_case : std::initializer_list<Case>{
           {kConfig, R"("Services":[{"Name":"s"}]})", R"("Services":[{"Na)"},  // truncated
           {kConfig, R"("TargetService":"s")", R"("TargetService":"t")"},
           {kConfig, R"("TargetService":"s")", R"("MaxAttempts":1)"},  // no service at all
           {kConfig, "1000", "0"},
           {kConfig, "1000", "-5"},
           {kConfig, "1000", R"("1000")"},
           {kConfig, R"("Revision":3)", R"("Revision":0)"},
           {kConfig, R"("Revision":3)", R"("Revision":3.5)"},
           {kConfig, R"("Revision":3)", R"("Revision":"3")"},
           {kConfig, R"("Revision":3)", R"("Revision":3,"Revision":4)"},
           {kConfig, R"("Revision":3,)", ""},
           {kConfig, R"("RouteType":"primary")", R"("RouteType":"other")"},
           {kConfig, R"([{"Name":"s"}])", R"([{"Name":"s"},{"Name":"s"}])"},
           {kConfig, R"([{"Name":"s"}])", R"({"Name":"s"})"},
           // Guards against a name that becomes two lines of the SQL wire, or two headers.
           {kConfig, R"([{"Name":"s"}])", R"([{"Name":"s"},{"Name":"a\r\nQUERY - STEPDOWN 9"}])"},
           {kConfig, R"([{"Name":"s"}])", R"([{"Name":"s"}],"Tenants":[{"Name":"a\nb","ApiKeys":["k"]}])"},
           {kMeshConfig, "/x/y/", "/x/"},      // the same host and path
           {kMeshConfig, R"("b")", R"("a")"},  // the same name
           {kMeshConfig, R"("t","W)", R"("u","W)"},
           {kMeshConfig, "90", "-1"},
           {kMeshConfig, "Weight\":90},{\"TargetService\":\"t\",\"Weight\":10", "Weight\":0"},  // sum 0
           {kMeshConfig, "15000", R"("15 s")"}})
    EXPECT_FALSE(read_configuration(changed(test_case.valid, test_case.original, test_case.replacement)))
        << test_case.original << " -> " << test_case.replacement;
  EXPECT_EQ(read_configuration(changed(kConfig, "1000", "0.4"))->routes.begin()->second.timeout_ms, 1);
}

// A patch replaces and removes items by name and leaves all others as they are. It is validated against its
// base revision, as a full configuration is.
TEST(ConfigurationReader, APatchIsMergedAndValidatedAsAWholeConfiguration) {
  StateTable state;
  auto put = [&](const Json& command) {
    auto result = validate_command(state, command);
    std::uint64_t sequence = state.last_sequence() + 1;
    for (auto& row : result.rows) row.sequence = sequence, state.put(row);
    return answer_code(result.status);
  };
  const std::string patch = R"({"Revision":5,"Upsert":{"Routes":[{"Name":"c","Hostname":"h.example",
    "PathPrefix":"/z/","RouteType":"idempotent","TimeoutMs":10,"TargetService":"t"}]},"Remove":{"Routes":["a"]}})";
  EXPECT_EQ(put(patch_configuration(0, patch)), 412) << "there is no configuration yet";
  EXPECT_EQ(put(put_configuration(0, kMeshConfig)), 200);
  EXPECT_EQ(put(patch_configuration(3, patch)), 200);
  EXPECT_EQ(put(patch_configuration(3, patch)), 200) << "submitted again: already applied";
  ClusterState cluster;
  cluster.update_from(state);
  EXPECT_EQ(cluster.configuration().revision, 5u);
  EXPECT_FALSE(cluster.route("h.example", "/x/q"));
  EXPECT_EQ(cluster.route("h.example", "/x/y/q/r")->name, "b");
  EXPECT_EQ(cluster.route("h.example", "/x/y/q/r")->weighted_targets.size(), 2u);
  EXPECT_EQ(cluster.route("h.example", "/z/q")->service, "t");
  EXPECT_FALSE(cluster.route("h.example", "/zz/q"));
  EXPECT_FALSE(cluster.route("other.example", "/z/q"));
  for (const char* invalid :
       {R"({"Revision":5})",                                 // not above its base
        R"({"Revision":9,"Upsert":{"Routes":[{"Hostname")",  // truncated
        R"({"Revision":9,"Remove":{"Services":["t"]}})",     // a route still uses the service
        R"({"Revision":9,"Upsert":{"Routes":[{"Name":"c","Hostname":"h.example","PathPrefix":"/x/y/",
             "RouteType":"idempotent","TimeoutMs":10,"TargetService":"t"}]}})",  // the same host and path
        R"({"Revision":9,"Upsert":{"Routes":[{"Hostname":"x"}]}})",              // no name
        R"({"Revision":9,"Remove":["c"]})"})
    EXPECT_EQ(put(patch_configuration(5, invalid)), 400) << invalid;
  EXPECT_FALSE(check_patch(R"({"Revision":9,"Remove":{"Limits":["IdleTimeoutMs"]}})").is_ok());
  EXPECT_EQ(put(patch_configuration(3, R"({"Revision":9})")), 412);
  EXPECT_EQ(put(patch_configuration(5, R"({"Revision":9,"Upsert":{"Limits":{"IdleTimeoutMs":700}}})")), 200);
  cluster.update_from(state);
  EXPECT_EQ(cluster.configuration().limits.idle_timeout_ms, 700);
  EXPECT_EQ(cluster.configuration().limits.max_header_bytes, 16384u);
  EXPECT_EQ(Json::parse(state.find(kConfigurationKey)->value)["Routes"].size(), 2u);
}

// Guards against an exception in the middle of a batch of orders: a patch that names items of what is no list
// of named items raised one, whichever part of the configuration it was.
TEST(ConfigurationReader, APatchOfWhatIsNoListOfNamedItemsIsRefused) {
  const std::string config =
      changed(kMeshConfig, R"("Limits":)", R"("Note":"text","Owners":[1,{"Name":7},"x"],"Limits":)");
  ASSERT_TRUE(read_configuration(config)) << read_configuration(config).status().message();
  for (const char* kind : {"Limits", "Revision", "Note"}) {
    const std::string in_kind = std::string("{\"") + kind + "\":[";
    EXPECT_FALSE(apply_patch(config, R"({"Revision":9,"Remove":)" + in_kind + R"("IdleTimeoutMs"]}})"))
        << kind;
    EXPECT_FALSE(apply_patch(config, R"({"Revision":9,"Upsert":)" + in_kind + R"({"Name":"x"}]}})")) << kind;
  }
  // Items that have no name stay as they are.
  auto patched = apply_patch(config, R"({"Revision":9,"Remove":{"Owners":["7","x"],"Zones":["z"]}})");
  ASSERT_TRUE(patched) << patched.status().message();
  EXPECT_EQ(Json::parse(*patched)["Owners"].size(), 3u);
}

// Whatever JSON an operator sends gets an answer: a patch is applied or refused, and raises no exception.
TEST(ConfigurationReader, AnyPatchIsAppliedOrRefused) {
  std::mt19937 rng(1);
  const auto pick = [&](std::size_t count) { return std::size_t(rng() % count); };
  const std::vector<std::string> kinds{"Routes", "Services", "Tenants", "Limits", "Revision", "Note", "Name"};
  const std::vector<Json> values{Json(),
                                 true,
                                 7,
                                 -1.5,
                                 "r",
                                 Json::array(),
                                 Json::object(),
                                 Json::array({"r"}),
                                 Json::array({7}),
                                 Json::array({{{"Name", "r"}}}),
                                 Json::array({{{"Name", 7}}}),
                                 {{"Name", "r"}},
                                 {{"IdleTimeoutMs", 700}},
                                 {{"IdleTimeoutMs", Json::array()}}};
  int applied = 0;
  for (int round = 0; round < 20000; ++round) {
    Json config = Json::parse(kMeshConfig);
    if (pick(3) == 0) config[kinds[pick(kinds.size())]] = values[pick(values.size())];
    Json patch{{"Revision", 9}};
    for (const char* operation : {"Upsert", "Remove"}) {
      if (pick(10) == 0) patch[operation] = values[pick(values.size())];
      if (pick(2) == 0) patch[operation] = {{kinds[pick(kinds.size())], values[pick(values.size())]}};
    }
    if (pick(10) == 0) patch["Revision"] = values[pick(values.size())];
    if (!read_configuration(config.dump())) continue;  // never stored, so never patched
    ASSERT_NO_THROW({
      if (auto patched = apply_patch(config.dump(), patch.dump())) {
        ++applied;
        (void)read_configuration(*patched);
      }
    }) << config
       << " " << patch;
  }
  EXPECT_GT(applied, 1000);
}

TEST(ConfigurationReader, IsTakenByCompareAndSet) {
  StateTable state;
  auto submit = [&](std::uint64_t base, const std::string& body) {
    auto result = validate_command(state, put_configuration(base, body));
    for (auto& row : result.rows) row.sequence = state.last_sequence() + 1, state.put(row);
    return answer_code(result.status);
  };
  EXPECT_EQ(submit(1, kConfig), 503) << "base revision 1 is unknown here but may still be committed";
  EXPECT_EQ(submit(0, kConfig), 200);
  EXPECT_EQ(submit(0, kConfig), 200);  // submitted again, as after a lost response
  EXPECT_EQ(submit(0, changed(kConfig, ":3", ":7")), 412);
  EXPECT_EQ(submit(3, changed(kConfig, ":3", ":2")), 400);
  EXPECT_EQ(submit(3, changed(kConfig, ":3", ":7")), 200);
  EXPECT_EQ(submit(3, changed(kConfig, ":3", ":8")), 412);
  EXPECT_EQ(state.find(kConfigurationKey)->value, changed(kConfig, ":3", ":7"));
}

}  // namespace
}  // namespace pebblespindle::test
