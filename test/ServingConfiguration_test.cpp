#include "serving/ServingView.h"

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

class ServingConfigurationTest : public testing::Test {
protected:
    static Route route(std::string name, std::string prefix)
    {
        Route route;
        route.name = std::move(name);
        route.host = "a.example";
        route.pathPrefix = std::move(prefix);
        return route;
    }

    static ServingConfiguration configuration(std::uint64_t version)
    {
        ServingConfiguration values;
        values.version = version;
        values.routes = { route("short", "/x/"), route("long", "/x/y/") };
        return values;
    }

    std::string_view find(std::string_view host, std::string_view target)
    {
        const auto* found = this->active.routes.find(host, target);
        return found ? found->name : std::string_view { "none" };
    }

    ActiveConfiguration active { configuration(1) };
};

TEST_F(ServingConfigurationTest, LongestPrefixWins)
{
    EXPECT_EQ(this->find("a.example", "/x/y/z"), "long");
    EXPECT_EQ(this->find("a.example", "/x/z"), "short");
}

TEST_F(ServingConfigurationTest, PrefixEndsAtASlash)
{
    EXPECT_EQ(this->find("a.example", "/x"), "none");
    EXPECT_EQ(this->find("a.example", "/xy/"), "none");
}

TEST_F(ServingConfigurationTest, QueryIsNotPartOfThePath)
{
    EXPECT_EQ(this->find("a.example", "/x?/x/"), "none");
    EXPECT_EQ(this->find("a.example", "/x/?q=/y/"), "short");
}

TEST_F(ServingConfigurationTest, HostMatchesIgnoringCaseAndPort)
{
    EXPECT_EQ(this->find("A.Example:8080", "/x/"), "short");
    EXPECT_EQ(this->find("b.example", "/x/"), "none");
}

TEST_F(ServingConfigurationTest, TightestGapIsTheSmallestOfTheRoutesToAService)
{
    auto values = configuration(1);
    values.services["s"].name = "s";
    for (auto& route : values.routes) {
        route.kind = RouteKind::Stream;
        route.shares = { { "s", 1 } };
    }
    values.routes.front().gapObjective = 800ms;
    values.routes.back().gapObjective = 200ms;
    values.complete();
    EXPECT_EQ(values.service("s")->tightestGap, Duration { 200ms });
}

TEST_F(ServingConfigurationTest, OlderAndEqualVersionsAreNeverInstalled)
{
    ServingView view;
    EXPECT_TRUE(view.install(configuration(7)));
    EXPECT_FALSE(view.install(configuration(7)));
    EXPECT_FALSE(view.install(configuration(6)));
    EXPECT_EQ(view.version(), 7U);
    EXPECT_TRUE(view.install(configuration(20)));
}

TEST_F(ServingConfigurationTest, HeldConfigurationOutlivesAnUpdate)
{
    ServingView view;
    view.install(configuration(1));
    const auto held = view.configuration();
    view.install(configuration(2));
    EXPECT_EQ(held->values.version, 1U);
    EXPECT_NE(held->routes.find("a.example", "/x/"), nullptr);
}

}
}
