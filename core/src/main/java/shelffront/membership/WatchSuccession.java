package shelffront.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides which watches of the endpoint list stay open while newer ones are opened, for example at
 * a new discovery address.
 *
 * <p>A watch is closed only when a newer one has delivered something, since discovery may answer
 * the older one first, however quickly newer ones follow. By the platform's protocol a former
 * address still answers open calls for a fixed time after the move, so a call lasts that time plus
 * the time for which it was the newest.
 *
 * <p>Invariant: at most {@link #MAX_OPEN} watches are open. Beyond that, the one that was the
 * newest for the shortest time is closed, because it ends first, but never the oldest or the
 * newest. So if discovery takes equally long for each call, and any call could be answered, then
 * one that stays open is: whichever is closed leaves only longer-lasting ones behind, and the
 * oldest of them stays until its end. Not thread-safe.
 *
 * @param <W> a watch, compared by identity
 */
public final class WatchSuccession<W> {

  /**
   * Calls that may be open at a time. A call that waits for 2 s, the longest wait of the protocol,
   * is answered at a former address only if it was the newest for 0.5 s. Up to five such calls and
   * an established watch are open together.
   */
  public static final int MAX_OPEN = 6;

  /** An open watch, and for how long it was the newest one. */
  private static final class OpenWatch<W> {
    final W watch;
    final long openedAtMicros;
    long newestForMicros;

    OpenWatch(W watch, long openedAtMicros) {
      this.watch = watch;
      this.openedAtMicros = openedAtMicros;
    }
  }

  /** Oldest first. */
  private final List<OpenWatch<W>> open = new ArrayList<>();

  /** The watch that was added last; null once it has ended. */
  private OpenWatch<W> newest;

  /**
   * Adds a watch that was just opened.
   *
   * @return the watch to close in its favour, which has been removed
   */
  public Optional<W> add(W watch, long nowMicros) {
    if (newest != null) {
      newest.newestForMicros = nowMicros - newest.openedAtMicros;
    }
    Optional<OpenWatch<W>> evicted = open.size() < MAX_OPEN ? Optional.empty() : firstToEnd();
    evicted.ifPresent(open::remove);
    newest = new OpenWatch<>(watch, nowMicros);
    open.add(newest);
    return evicted.map(each -> each.watch);
  }

  /** Of several that were the newest for equally long, the one opened last ends last. */
  private Optional<OpenWatch<W>> firstToEnd() {
    List<OpenWatch<W>> latestFirst = new ArrayList<>(open.subList(1, open.size()));
    Collections.reverse(latestFirst);
    return latestFirst.stream().min(Comparator.comparingLong(each -> each.newestForMicros));
  }

  /**
   * Records that a watch has delivered a complete line, so that older ones are not needed any more.
   *
   * @return the older watches, to be closed, which have been removed
   */
  public List<W> onDelivered(W watch) {
    int index = indexOf(watch);
    if (index <= 0) {
      return List.of();
    }
    List<OpenWatch<W>> older = open.subList(0, index);
    List<W> replaced = older.stream().map(each -> each.watch).toList();
    older.clear();
    return replaced;
  }

  /**
   * Removes a watch that has ended.
   *
   * @return whether it was the newest, so that another one has to be opened
   */
  public boolean remove(W watch) {
    int index = indexOf(watch);
    if (index < 0) {
      return false;
    }
    boolean wasNewest = open.remove(index) == newest;
    newest = wasNewest ? null : newest;
    return wasNewest;
  }

  /** Removes and returns all watches, to be closed. */
  public List<W> removeAll() {
    List<W> all = open.stream().map(each -> each.watch).toList();
    open.clear();
    newest = null;
    return all;
  }

  /** Whether the watch that was added last is open. */
  public boolean isNewestOpen() {
    return newest != null;
  }

  private int indexOf(W watch) {
    for (int i = 0; i < open.size(); i++) {
      if (open.get(i).watch == watch) {
        return i;
      }
    }
    return -1;
  }
}
