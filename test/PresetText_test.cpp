#include <random>

#include <gmock/gmock.h>

#include <marigoldpaddle/Preset.h>

#include "Seed.h"
#include "base/Settings.h"

using namespace marigoldpaddle;

namespace {

constexpr std::string_view Sample = "; An ordinary day.\n[limits]\ndefault_allowed_ms = 30000\nretry_budget = 0.1\n"
                                    "[class short]\nmaximum_tokens = 4000\n[model small]\nadapters = a,b\n"
                                    "[workspace drivers]\nkey_sha256 = "
                                    "66213e3f98358adc81876b031d7adcb807c266edf06a8b2246c51fc12758acea\n"
                                    "[service orders]\nkey_window_ms = 86400000\n";

// Returns the sample with random bytes changed, removed, repeated or inserted.
std::string mutate(std::mt19937_64& random)
{
    std::string text { Sample };
    const auto below = [&](std::size_t bound) {
        return std::uniform_int_distribution<std::size_t> { 0, bound - 1 }(random);
    };
    for (auto changes = 1 + below(8); changes > 0 && !text.empty(); --changes) {
        const auto position = below(text.size());
        switch (below(4)) {
        case 0:
            text[position] = static_cast<char>(below(256));
            break;
        case 1:
            text.erase(position, 1 + below(20));
            break;
        case 2:
            text.insert(position, text.substr(below(text.size()), below(40)));
            break;
        default:
            text.insert(position, 1, "[]=;\n\0\r "[below(8)]);
        }
    }
    return text;
}

TEST(PresetTextTest, MutatedTextIsRefusedOrParsedAndCheckedWithoutACrash)
{
    const auto seed = marigoldpaddle::testing::seedFromEnvironment();
    std::mt19937_64 random { seed };
    std::size_t valid = 0;
    for (int i = 0; i < 5000; ++i) {
        const auto text = mutate(random);
        SCOPED_TRACE("MARIGOLD_SEED=" + std::to_string(seed) + " text " + std::to_string(i));
        const auto sections = parseIni(text, "mutated.ini");
        if (sections && makePreset("mutated", *sections, "mutated.ini"))
            ++valid;
    }
    EXPECT_GT(valid, 0U);
    EXPECT_LT(valid, 5000U);
}

TEST(PresetTextTest, LongMalformedTextIsRefusedInBoundedTime)
{
    for (const auto filler : { '[', '=', ']', '\0', '\xff', 'a' })
        EXPECT_FALSE(parseIni("[limits]\n" + std::string(4'000'000, filler), "long.ini")) << static_cast<int>(filler);
}

}
