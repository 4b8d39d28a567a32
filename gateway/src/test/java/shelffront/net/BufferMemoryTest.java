package shelffront.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Guards against buffers that outgrow the memory that the platform gives to a process. */
class BufferMemoryTest {

  private static final long MEBIBYTE = 1 << 20;

  @Test
  void usesAThirdOfTheHeapIfTheProcessMayUseMore() {
    assertEquals(24 * MEBIBYTE, BufferMemory.budgetBytes(72 * MEBIBYTE, 0));
    assertEquals(24 * MEBIBYTE, BufferMemory.budgetBytes(72 * MEBIBYTE, 192 * MEBIBYTE));
  }

  @Test
  void leavesRoomForTheProcessIfItsMemoryIsLimited() {
    assertEquals(12 * MEBIBYTE, BufferMemory.budgetBytes(72 * MEBIBYTE, 96 * MEBIBYTE));
    assertEquals(2 * MEBIBYTE, BufferMemory.budgetBytes(72 * MEBIBYTE, 32 * MEBIBYTE));
  }
}
