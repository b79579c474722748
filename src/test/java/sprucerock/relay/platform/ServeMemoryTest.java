package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A relay as its own process, whose clients and units send some twice as much as its heap holds.
 * Verdicts hold whatever the machine's speed.
 */
public class ServeMemoryTest {
  private static final int SOCKETS = 1024;

  /** A third of the descriptors, nearly: as many as clients hold at most. */
  private static final int BAD_CLIENTS = 320;

  /** Whose largest values are some twice as much as their share of the heap. */
  private static final int CLIENTS = 100;

  /** Ended before its last byte was written: no request was taken. */
  private static final String NOT_SENT = "not sent";

  private static final int LARGEST_VALUE_BYTES = 64 * 1024;
  private static final int LARGE_STATEMENTS = 30;
  private static final int LARGE_STATEMENTS_AT_ONCE = 10;

  /** A connection is used again after some silence. */
  private static final int UNTIL_IDLE_MS = 30;

  private ServeFixture fixture;
  private int ids;

  @BeforeMethod
  public void start() throws Exception {
    fixture = new ServeFixture(SOCKETS, "-Xmx24m", "-Xss512k");
  }

  @AfterMethod
  public void end() throws Exception {
    fixture.close();
  }

  private byte[] insert(int valueBytes) {
    return ServeFixture.pay("" + ids++, valueBytes);
  }

  /** Has the endpoint answer all that it is asked, each with a value of so many bytes. */
  private void endpointAnswers(int valueBytes) {
    byte[][] value = Peers.value("v".repeat(valueBytes));
    Thread thread =
        new Thread(
            () -> {
              try {
                while (true) {
                  Peers.Unit.Query query = fixture.endpoint.asked.take();
                  answer(query, value);
                }
              } catch (InterruptedException e) {
                // the test is over
              }
            },
            "endpoint");
    thread.setDaemon(true);
    thread.start();
  }

  /** Each on a thread of its own: one that waits for the relay to read holds up no other. */
  private static void answer(Peers.Unit.Query query, byte[][] value) {
    Thread thread =
        new Thread(
            () -> {
              try {
                query.on().says(value);
              } catch (IOException e) {
                // given up by the relay: its client's end is looked at
              }
            },
            "answer");
    thread.setDaemon(true);
    thread.start();
  }

  /** Each client's bytes on a connection of its own, all at once; how each of them ended. */
  private List<String> sendAll(List<byte[]> all) throws Exception {
    BlockingQueue<String> ends = new LinkedBlockingQueue<>();
    for (byte[] bytes : all) {
      Thread thread =
          new Thread(
              () -> {
                try {
                  Peers.Client client = fixture.peers.new Client(fixture.port);
                  client.welcomed();
                  try {
                    client.sends(bytes);
                  } catch (IOException e) {
                    ends.add(NOT_SENT);
                    return;
                  }
                  ends.add(client.answer());
                } catch (Exception e) {
                  ends.add("none: " + e);
                }
              },
              "client");
      thread.setDaemon(true);
      thread.start();
    }
    List<String> told = new ArrayList<>();
    for (int i = 0; i < all.size(); i++) {
      told.add(Peers.next(ends, "the end of client " + i));
    }
    return told;
  }

  private void assertServesOn() throws Exception {
    Peers.Client usual = fixture.peers.new Client(fixture.port);
    usual.sends(insert(2));
    assertEquals(usual.welcomed().answer().substring(0, 7), "value v");
    assertTrue(fixture.relay.isAlive());
  }

  /** Guards against half commands that fill the heap and end the threads of all input: review/1. */
  @Test
  public void halfCommandsOfManyClientsLeaveOthersServed() throws Exception {
    endpointAnswers(10);
    assertServesOn();
    List<byte[]> halves = new ArrayList<>();
    for (int i = 0; i < BAD_CLIENTS; i++) {
      byte[] command = insert(79_000); // 158,000 bytes and some, more than is sent of it
      halves.add(Arrays.copyOf(command, 150_000));
    }
    for (String end : sendAll(halves)) {
      assertTrue(
          end.startsWith("error")
              || end.equals("closed")
              || end.equals("reset")
              || end.equals(NOT_SENT),
          end);
    }
    assertServesOn();
  }

  /** Guards against copies of large commands, one an attempt, that fill the heap. */
  @Test
  public void theLargestValuesOfManyClientsAreServedOrRefused() throws Exception {
    endpointAnswers(10);
    assertServesOn();
    List<byte[]> commands = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      commands.add(insert(LARGEST_VALUE_BYTES));
    }
    Set<String> ends = new TreeSet<>(sendAll(commands));
    assertTrue(ends.contains("value vvvvvvvvvv"), ends.toString());
    ends.remove("value vvvvvvvvvv");
    ends.removeIf(end -> end.startsWith("error 53300"));
    ends.remove(NOT_SENT);
    assertEquals(ends, Set.of());
    assertServesOn();
  }

  /** Guards against an answer to the empty query that comes before a large statement has left. */
  @Test
  public void largeStatementsOnAUsedConnectionAreNotTakenForSpoilt() throws Exception {
    endpointAnswers(10);
    for (int i = 0; i < LARGE_STATEMENTS; i++) {
      List<byte[]> commands = new ArrayList<>();
      for (int n = 0; n < LARGE_STATEMENTS_AT_ONCE; n++) {
        commands.add(insert(LARGEST_VALUE_BYTES));
      }
      assertEquals(Set.copyOf(sendAll(commands)), Set.of("value vvvvvvvvvv"));
      TimeUnit.MILLISECONDS.sleep(UNTIL_IDLE_MS);
    }
    assertEquals(
        fixture.relay.unreadLog().stream()
            .filter(line -> line.contains("PLATFORM_UNREADABLE"))
            .toList(),
        List.of());
  }

  /** Guards against large answers of many units that fill the heap. */
  @Test
  public void theLargestAnswersToManyClientsAreServed() throws Exception {
    endpointAnswers(LARGEST_VALUE_BYTES);
    assertServesOn();
    List<byte[]> commands = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      commands.add(insert(2));
    }
    for (String end : sendAll(commands)) {
      assertTrue(end.startsWith("value vvvvvvvvvv") || end.startsWith("error 53300"), end);
    }
    assertServesOn();
  }
}
