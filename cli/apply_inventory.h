#ifndef CLI_APPLY_INVENTORY_H_
#define CLI_APPLY_INVENTORY_H_

namespace comfreyshift {

// Runs `inventory apply FILE`: checks the whole file and puts it in force.
int RunInventory(int argc, char** argv);

}  // namespace comfreyshift

#endif  // CLI_APPLY_INVENTORY_H_
