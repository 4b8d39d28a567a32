package review2;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/** A steady load: clients that each send a request, read its answer and pause. */
final class Load implements AutoCloseable {

  /** The next statement of a client. */
  interface Statements {
    String next(String id);
  }

  private final Play play;
  private final Map<String, Integer> answers = new TreeMap<>();
  private final Thread[] threads;
  private volatile boolean stopped;

  Load(Play play, Target gateway, int clients, double pauseMillis, Statements statements) {
    this(play, gateway, clients, pauseMillis, "ledger", statements);
  }

  Load(
      Play play,
      Target gateway,
      int clients,
      double pauseMillis,
      String database,
      Statements statements) {
    this.play = play;
    threads = new Thread[clients];
    for (int i = 0; i < clients; i++) {
      int index = i;
      threads[i] =
          new Thread(
              () -> {
                Play.sleep(pauseMillis * index / clients);
                run(gateway, pauseMillis, database, statements);
              });
      threads[i].setDaemon(true);
      threads[i].start();
    }
  }

  private void run(Target gateway, double pauseMillis, String database, Statements statements) {
    Client client = null;
    while (!stopped) {
      try {
        client = client == null ? new Client(play, gateway, database) : client;
        Client.Answer answer = client.call(statements.next(Client.newId()));
        count(answer.kind());
        if (answer.kind().equals("ended") || answer.kind().equals("reset")) {
          client.close();
          client = null;
        }
      } catch (IOException e) {
        count("no connection");
        client = null;
      }
      Play.sleep(pauseMillis);
    }
  }

  private void count(String kind) {
    synchronized (answers) {
      answers.merge(kind, 1, Integer::sum);
    }
  }

  String answers() {
    synchronized (answers) {
      return answers.toString();
    }
  }

  @Override
  public void close() {
    stopped = true;
    for (Thread thread : threads) {
      try {
        thread.join(3000);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
