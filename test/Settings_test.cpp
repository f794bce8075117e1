#include "base/Settings.h"

#include <gmock/gmock.h>

#include <boost/leaf/handle_errors.hpp>

using namespace marigoldpaddle;
using testing::AllOf;
using testing::ElementsAre;
using testing::HasSubstr;

namespace {

constexpr SettingSpecification Specifications[] = {
    { "server", "listen", SettingKind::Address, 0, 0, "127.0.0.1:0", "address to listen on" },
    { "server", "timeout_ms", SettingKind::Milliseconds, 10, 1000, std::nullopt, "time for an answer" },
    { "zone *", "weight", SettingKind::Real, 0, 1, "0.5", "share of the zone" },
};

class SettingsTest : public testing::Test {
protected:
    // Returns the error message of a settings file; empty if the settings are valid.
    static std::string problemOf(std::string_view text)
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::string> {
                BOOST_LEAF_CHECK(Settings::parse(text, "sample.ini", Specifications));
                return std::string {};
            },
            [](const SettingsProblem& problem) { return problem.message; },
            [] { return std::string { "error without a SettingsProblem" }; });
    }
};

TEST_F(SettingsTest, ValueOutsideItsRangeIsRejectedWithFileKeyValueAndRange)
{
    EXPECT_THAT(problemOf("[server]\ntimeout_ms = 5\n"),
        AllOf(HasSubstr("sample.ini"), HasSubstr("timeout_ms"), HasSubstr("5"), HasSubstr("from 10 to 1000")));
}

TEST_F(SettingsTest, UnknownKeyIsRejectedWithTheNearestKnownKey)
{
    EXPECT_THAT(
        problemOf("[server]\ntimeout_ms = 50\nlisden = 127.0.0.1:1\n"), HasSubstr("nearest known key is listen"));
}

TEST_F(SettingsTest, MissingRequiredKeyIsRejected)
{
    EXPECT_THAT(problemOf("[server]\nlisten = 127.0.0.1:1\n"), HasSubstr("timeout_ms: missing"));
}

TEST_F(SettingsTest, MissingKeyOfANamedSectionHasItsDefault)
{
    const auto settings = Settings::parse("[server]\ntimeout_ms = 50\n[zone a]\n", "sample.ini", Specifications);
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->real("zone a", "weight"), 0.5);
    EXPECT_EQ(settings->milliseconds("server", "timeout_ms"), std::chrono::milliseconds { 50 });
}

}
