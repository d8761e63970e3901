package lemondock.wire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import lemondock.Routing;

/** Collects the actions of one batch and lays them out as a reply frame. */
final class Reply {
    private static final int ACTION_BYTES = 24;
    private static final int HEADER_BYTES = 8;

    private final ByteArrayOutputStream records = new ByteArrayOutputStream();
    private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
    private int count;
    private long behalf = -1;

    /** The actions of one instance, written into this reply. */
    Routing.Host hostFor(long instance) {
        return new InstanceHost(instance);
    }

    void broken(long instance, String text) {
        words(instance, 100, text);
    }

    byte[] frame() {
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + records.size() + tail.size())
                .order(ByteOrder.LITTLE_ENDIAN);
        frame.putInt(records.size() + tail.size()).putInt(count).put(records.toByteArray());
        byte[] bytes = frame.put(tail.toByteArray()).array();
        records.reset();
        tail.reset();
        count = 0;
        behalf = -1;
        return bytes;
    }

    private ByteBuffer action(long instance, int code) {
        if (behalf != instance) {
            behalf = instance;
            add(record(160).putInt((int) instance));
        }
        return record(code);
    }

    private static ByteBuffer record(int code) {
        return ByteBuffer.allocate(ACTION_BYTES).order(ByteOrder.LITTLE_ENDIAN).put((byte) code);
    }

    private void add(ByteBuffer record) {
        records.writeBytes(record.array());
        count++;
    }

    private void words(long instance, int code, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        add(action(instance, code).putInt(tail.size()).putInt(bytes.length));
        tail.writeBytes(bytes);
    }

    private static double millis(long micros) {
        return micros / WireHost.MICROS_PER_MILLI;
    }

    private final class InstanceHost implements Routing.Host {
        private final long instance;

        InstanceHost(long instance) {
            this.instance = instance;
        }

        @Override
        public void send(long requestId, long serverId, long timeout) {
            add(action(instance, 10).putLong(requestId).putInt((int) serverId).putDouble(millis(timeout)));
        }

        @Override
        public void refuse(long requestId, long retryAfter) {
            add(action(instance, 20).putLong(requestId).putDouble(millis(retryAfter)));
        }

        @Override
        public void fail(long requestId) {
            add(action(instance, 30).putLong(requestId));
        }

        @Override
        public void cancel(long requestId, int attempt) {
            add(action(instance, 40).putLong(requestId).putShort((short) attempt));
        }

        @Override
        public void release(long requestId) {
            add(action(instance, 150).putLong(requestId));
        }

        @Override
        public void timer(long token, long delay) {
            add(action(instance, 50).putLong(token).putDouble(millis(delay)));
        }

        @Override
        public void watchServers() {
            add(action(instance, 110).put((byte) 1));
        }

        @Override
        public void log(String line) {
            words(instance, 90, line);
        }
    }
}
