package shelffront.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests that changes of the discovery address in quick succession never silence discovery. */
class WatchSuccessionTest {

  /** Step of the model's time. */
  private static final int TICK_MILLIS = 10;

  /** A former address closes its connections this long after the move. */
  private static final int FORMER_ADDRESS_TICKS = 1500 / TICK_MILLIS;

  /** Longest time from a change that discovery could tell until a watch tells it. */
  private static final int TOLD_WITHIN_TICKS = 6000 / TICK_MILLIS;

  /** One call in the model: opened at a time, and closed by its address at another. */
  private record Call(int startTick, int endTick) {}

  @Test
  void keepsTheOlderWatchUntilTheNewerOneHasDelivered() {
    WatchSuccession<String> watches = new WatchSuccession<>();
    watches.add("first", 0);
    assertEquals(Optional.empty(), watches.add("second", 1));
    assertEquals(List.of(), watches.onDelivered("first"));
    assertEquals(List.of("first"), watches.onDelivered("second"));
    assertEquals(List.of("second"), watches.removeAll());
  }

  @Test
  void onlyTheEndOfTheNewestWatchAsksForAnother() {
    WatchSuccession<String> watches = new WatchSuccession<>();
    watches.add("first", 0);
    watches.add("second", 1);
    assertEquals(false, watches.remove("first"));
    assertEquals(true, watches.remove("second"));
    assertEquals(false, watches.isNewestOpen());
  }

  @Test
  void aWatchThatEndedIsNotClosedAgain() {
    WatchSuccession<String> watches = new WatchSuccession<>();
    watches.add("first", 0);
    watches.remove("first");
    assertEquals(List.of(), watches.onDelivered("first"));
    assertEquals(List.of(), watches.removeAll());
  }

  /**
   * Guards against reload rows in which no call is answered although discovery could be reached:
   * whenever an unlimited number of watches would have told a change, the limited ones do in time.
   */
  @Property(seed = "2026", tries = 2000)
  void tellsWheneverUnlimitedWatchesWould(
      @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 1, max = 70) Integer> pauses,
      @ForAll @IntRange(min = 0, max = 200) int waitTicks) {
    List<Call> calls = callsOf(pauses);
    boolean[] unlimited = toldAt(calls, waitTicks, calls.size());
    boolean[] limited = toldAt(calls, waitTicks, WatchSuccession.MAX_OPEN);
    for (int at = 0; at + TOLD_WITHIN_TICKS < limited.length; at++) {
      if (unlimited[at]) {
        assertTrue(
            isToldWithin(limited, at),
            "a change at " + at * TICK_MILLIS + " ms is not told in time");
      }
    }
  }

  private static boolean isToldWithin(boolean[] told, int from) {
    for (int at = from; at <= from + TOLD_WITHIN_TICKS; at++) {
      if (told[at]) {
        return true;
      }
    }
    return false;
  }

  /** One call for each change of the address, at the address that the change names. */
  private static List<Call> callsOf(List<Integer> pauses) {
    List<Call> calls = new ArrayList<>();
    int at = 0;
    for (int pause : pauses) {
      calls.add(new Call(at, at + pause + FORMER_ADDRESS_TICKS));
      at += pause;
    }
    calls.add(new Call(at, Integer.MAX_VALUE));
    return calls;
  }

  /**
   * Plays the calls and returns, for each tick, whether an answered watch is open. Without a limit,
   * every call stays open until its address closes it.
   */
  private static boolean[] toldAt(List<Call> calls, int waitTicks, int limit) {
    int lastStart = calls.get(calls.size() - 1).startTick();
    boolean[] told = new boolean[lastStart + 2 * TOLD_WITHIN_TICKS];
    WatchSuccession<Call> succession = new WatchSuccession<>();
    List<Call> open = new ArrayList<>();
    for (int now = 0; now < told.length; now++) {
      for (Call call : calls) {
        if (call.startTick() == now) {
          open.add(call);
          Optional<Call> evicted = succession.add(call, now);
          if (limit < calls.size()) {
            evicted.ifPresent(open::remove);
          }
        } else if (call.endTick() == now && open.remove(call)) {
          succession.remove(call);
        }
      }
      for (Call call : List.copyOf(open)) {
        if (now >= call.startTick() + waitTicks && open.contains(call)) {
          told[now] = true;
          open.removeAll(succession.onDelivered(call));
        }
      }
    }
    return told;
  }
}
