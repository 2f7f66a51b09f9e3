/* Tests of the replica id that a control process stores. */
#include <gtest/gtest.h>

#include <fstream>
#include <string>
#include <sys/stat.h>
#include <unistd.h>

extern "C" {
#include "control/control.h"
}

namespace {

class IdentityTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        char name[] = "/tmp/jr-identity-XXXXXX";

        directory_ = mkdtemp(name);
        path_ = directory_ + "/replica";
        control_.ctx = jr_new_ctx("test", nullptr);
        snprintf(control_.settings.data, sizeof control_.settings.data, "%s",
                 directory_.c_str());
    }

    void
    TearDown() override
    {
        jr_drop_ctx(control_.ctx);
        unlink(path_.c_str());
        rmdir(path_.c_str());
        rmdir(directory_.c_str());
    }

    jr_control_t control_ = {};
    std::string directory_;
    std::string path_;
};

} // namespace

TEST_F(IdentityTest, ANewDiskGetsANewIdThatLasts)
{
    uint64_t id;

    ASSERT_EQ(jr_control_load_replica_id(&control_), JR_OK);
    EXPECT_TRUE(control_.is_new_replica);
    id = control_.replica_id;
    control_.is_new_replica = false;
    ASSERT_EQ(jr_control_load_replica_id(&control_), JR_OK);
    EXPECT_FALSE(control_.is_new_replica);
    EXPECT_EQ(control_.replica_id, id);
}

/* Guards against a new id that overwrites one which could not be read. */
TEST_F(IdentityTest, AnIdThatCannotBeReadIsKept)
{
    ASSERT_EQ(symlink("replica", path_.c_str()), 0); /* a loop */
    EXPECT_EQ(jr_control_load_replica_id(&control_), JR_IO);
    EXPECT_FALSE(control_.is_new_replica);
    EXPECT_EQ(control_.replica_id, 0u);
}

TEST_F(IdentityTest, ADamagedIdIsReported)
{
    std::ofstream(path_) << "no number\n";
    EXPECT_EQ(jr_control_load_replica_id(&control_), JR_DAMAGED);
}
