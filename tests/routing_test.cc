// Mesh routes and ordered moves: validation, compare-and-set and deltas.
#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>

#include "config/config_state.h"
#include "config/move_order.h"
#include "config/routing.h"
#include "distribution/source_state.h"
#include "request/route_table.h"

namespace buckthorngate::tests {
namespace {

rpc::Route MakeRoute(const std::string& prefix, const std::string& service) {
  rpc::Route route;
  route.set_name("r" + prefix);
  route.set_host("shop.example");
  route.set_path_prefix(prefix);
  route.set_timeout_ms(1000);
  route.set_repeatable(true);
  rpc::RouteTarget& target = *route.add_targets();
  target.set_service(service);
  target.set_weight(1);
  return route;
}

rpc::RoutingCommand MakeCommand(uint64_t base, uint64_t number) {
  rpc::RoutingCommand command;
  command.set_base_number(base);
  command.set_digest(number * 1000 + base);
  rpc::Routing& routing = *command.mutable_routing();
  routing.mutable_header()->set_number(number);
  routing.mutable_header()->add_services("a");
  routing.mutable_header()->add_services("b");
  *routing.add_routes() = MakeRoute("/a/", "a");
  *routing.add_routes() = MakeRoute("/b/", "b");
  routing.set_document("text " + std::to_string(number));
  return command;
}

rpc::LogEntry EntryOf(const rpc::RoutingCommand& command, uint64_t index) {
  rpc::Command wrapped;
  *wrapped.mutable_routing() = command;
  rpc::LogEntry entry;
  entry.set_index(index);
  entry.set_kind(rpc::ENTRY_KIND_COMMAND);
  entry.set_payload(wrapped.SerializeAsString());
  return entry;
}

BOOST_AUTO_TEST_CASE(EachKindOfInvalidRoutingIsRefusedAsAWhole) {
  struct InvalidCase {
    ResultCode code_;
    std::function<void(rpc::Routing&)> make_invalid_;
  };
  const InvalidCase cases[] = {
      {ResultCode::kUnknownService,
       [](rpc::Routing& routing) {
         routing.mutable_routes(1)->mutable_targets(0)->set_service("c");
       }},
      {ResultCode::kDuplicateRoute,
       [](rpc::Routing& routing) {
         routing.mutable_routes(1)->set_path_prefix("/a/");
       }},
      {ResultCode::kInvalidValue,
       [](rpc::Routing& routing) {
         routing.mutable_routes(1)->mutable_targets(0)->set_weight(0);
       }},
      {ResultCode::kInvalidValue,
       [](rpc::Routing& routing) {
         routing.mutable_routes(1)->set_timeout_ms(0);
       }},
      {ResultCode::kInvalidValue,
       [](rpc::Routing& routing) {
         routing.mutable_routes(1)->set_path_prefix("b/");
       }},
  };
  config::ConfigState state;
  for (const InvalidCase& invalid : cases) {
    rpc::RoutingCommand command = MakeCommand(0, 1);
    invalid.make_invalid_(*command.mutable_routing());
    const auto result = config::ApplyRouting(command, state);
    BOOST_REQUIRE(!result);
    BOOST_TEST(static_cast<int>(result.error().code_) ==
               static_cast<int>(invalid.code_));
    BOOST_TEST(state.Routes().empty());
  }
}

BOOST_AUTO_TEST_CASE(OneOfTwoChangesOnTheSameBaseWins) {
  distribution::SourceState state;
  const auto code = [&state](const rpc::RoutingCommand& command,
                             uint64_t index) {
    return state.Apply(EntryOf(command, index)).routing_->code_;
  };
  BOOST_TEST((code(MakeCommand(0, 3), 1) == ResultCode::kOk));
  // Both operators chose number 5, but the contents and digests differ.
  rpc::RoutingCommand first = MakeCommand(3, 5);
  rpc::RoutingCommand second = MakeCommand(3, 5);
  second.set_digest(77);
  second.mutable_routing()->set_document("another text");
  BOOST_TEST((code(first, 2) == ResultCode::kOk));
  BOOST_TEST((code(second, 3) == ResultCode::kBaseNotCurrent));
  BOOST_TEST(state.RoutingDocument() == "text 5");
  // A resent command gets its first result again, also after a later change.
  BOOST_TEST((code(first, 4) == ResultCode::kOk));
  BOOST_TEST((code(MakeCommand(5, 6), 5) == ResultCode::kOk));
  BOOST_TEST((code(first, 6) == ResultCode::kOk));
  BOOST_TEST(state.Config().Routing().number() == 6u);
  // A number that is not greater than the current one is refused.
  rpc::RoutingCommand stale = MakeCommand(6, 6);
  stale.set_digest(78);
  BOOST_TEST((code(stale, 7) == ResultCode::kNumberStale));
  // A restored state has the document and recognizes accepted commands.
  distribution::SourceState restored;
  BOOST_REQUIRE(restored.Restore(state.Save()));
  BOOST_TEST(restored.RoutingDocument() == "text 6");
  BOOST_TEST(
      (restored.Apply(EntryOf(first, 8)).routing_->code_ == ResultCode::kOk));
}

BOOST_AUTO_TEST_CASE(DeltasCarryOnlyTheRoutesThatChanged) {
  config::ConfigState older;
  BOOST_REQUIRE(config::ApplyRouting(MakeCommand(0, 1), older));
  older.SetRevision(10);
  config::ConfigState newer = older;
  rpc::RoutingCommand command = MakeCommand(1, 2);
  command.mutable_routing()->mutable_routes(1)->set_timeout_ms(500);
  *command.mutable_routing()->add_routes() = MakeRoute("/c/", "a");
  BOOST_REQUIRE(config::ApplyRouting(command, newer));
  newer.SetRevision(11);
  const rpc::ConfigDelta delta = config::MakeDelta(older, newer);
  BOOST_TEST(delta.changed_routes_size() == 2);
  BOOST_TEST(delta.removed_routes_size() == 0);
  config::ConfigState subscriber;
  BOOST_REQUIRE(
      (subscriber.ApplySnapshot(older.ToSnapshot()) == ResultCode::kOk));
  BOOST_REQUIRE((subscriber.ApplyDelta(delta) == ResultCode::kOk));
  BOOST_TEST(subscriber.Digest() == newer.Digest());
}

BOOST_AUTO_TEST_CASE(TheTrailingSlashOfAMeshRouteIsSignificant) {
  config::ConfigState state;
  BOOST_REQUIRE(config::ApplyRouting(MakeCommand(0, 1), state));
  const auto table = request::RouteTable::Build(state);
  BOOST_TEST((table->Match("shop.example", "/a/x", "POST").route_ != nullptr));
  BOOST_TEST((table->Match("shop.example", "/a", "GET").route_ == nullptr));
  BOOST_TEST((table->Match("shop.example", "/ab/", "GET").route_ == nullptr));
  BOOST_TEST((table->Match("other.example", "/a/", "GET").route_ == nullptr));
}

rpc::MoveOrder MakeOrder(const std::string& to, int64_t at_ms) {
  rpc::MoveOrder order;
  order.set_service("a");
  order.set_from("v1");
  order.set_to(to);
  order.set_duration_ms(12'000);
  order.set_ordered_ms(at_ms);
  return order;
}

BOOST_AUTO_TEST_CASE(AResentOrderStartsNoNewMove) {
  config::ConfigState state;
  BOOST_REQUIRE(config::ApplyMoveOrder(MakeOrder("v2", 1000), state));
  const config::ServicePtr first = state.Find("a");
  BOOST_TEST(first->move().from() == "v1");
  BOOST_TEST(first->move().deadline_ms() == 13'000);
  BOOST_REQUIRE(config::ApplyMoveOrder(MakeOrder("v2", 3000), state));
  BOOST_TEST((state.Find("a") == first));
  const auto other = config::ApplyMoveOrder(MakeOrder("v3", 3000), state);
  BOOST_REQUIRE(!other);
  BOOST_TEST((other.error().code_ == ResultCode::kMoveInProgress));
}

BOOST_AUTO_TEST_CASE(AnOrderWithNothingToMoveFromIsRefused) {
  config::ConfigState state;
  rpc::MoveOrder order = MakeOrder("v2", 1000);
  order.clear_from();
  const auto result = config::ApplyMoveOrder(order, state);
  BOOST_REQUIRE(!result);
  BOOST_TEST((result.error().code_ == ResultCode::kNoEndpoint));
}

}  // namespace
}  // namespace buckthorngate::tests
