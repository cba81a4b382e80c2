package rosespread.eventloop;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class EventQueueTest {
    private static final int CAPACITY = 1 << 16;
    private static final EventQueue.Event EVENT = now -> {};
    private final EventQueue queue = new EventQueue();

    private void fill(int count) {
        for (int i = 0; i < count; i++) {
            queue.put(EVENT);
        }
    }

    private Thread startProducer() {
        Thread producer = new Thread(() -> queue.put(EVENT), "producer");
        producer.setDaemon(true);
        producer.start();
        return producer;
    }

    @Test
    void deliversEventsInOrder() {
        EventQueue.Event first = now -> {};
        EventQueue.Event second = now -> {};
        queue.put(first);
        queue.putReport(second);
        assertSame(first, queue.poll());
        assertSame(second, queue.poll());
        assertNull(queue.poll());
    }

    @Test
    void dropsAndCountsReportsWhenHalfFull() {
        fill(CAPACITY / 2);
        queue.putReport(EVENT);
        assertEquals(1, queue.droppedReports());
        assertNotNull(queue.poll());
        queue.putReport(EVENT);
        assertEquals(1, queue.droppedReports());
    }

    @Test
    @Timeout(20)
    void blocksProducerWhileFull() throws InterruptedException {
        fill(CAPACITY);
        Thread producer = startProducer();
        producer.join(50);
        assertTrue(producer.isAlive());
        queue.poll();
        producer.join();
    }

    @Test
    @Timeout(20)
    void closeReleasesBlockedProducer() throws InterruptedException {
        fill(CAPACITY);
        Thread producer = startProducer();
        producer.join(50);
        assertTrue(producer.isAlive());
        queue.close();
        producer.join();
    }

    @Test
    @Timeout(20)
    void eventWakesConsumer() {
        Thread consumer = new Thread(() -> queue.await(Long.MAX_VALUE), "consumer");
        consumer.setDaemon(true);
        consumer.start();
        await().until(() -> consumer.getState() == Thread.State.TIMED_WAITING);
        queue.put(EVENT);
        await().until(() -> !consumer.isAlive());
    }
}
