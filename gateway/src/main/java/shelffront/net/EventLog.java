package shelffront.net;

/** Log of the program, one event per line. Called on the loop thread, so it must not block. */
public interface EventLog {

  void println(Object line);
}
