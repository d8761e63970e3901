package lemondock.net.sse;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** Reads an event stream from bytes split anywhere; no I/O. Lines may end in CR, LF or both. */
public final class SseDecoder {
    private final int most;
    private byte[] line = new byte[512];
    private int length;
    private boolean afterReturn;
    private boolean first = true;
    private final StringBuilder data = new StringBuilder();
    private boolean hasData;
    private String type = "";
    private String id;

    /** Makes a decoder; {@code most} bounds the bytes of a line and the characters of an event. */
    public SseDecoder(int most) {
        this.most = most;
    }

    /**
     * Takes all bytes and adds the events that they complete.
     *
     * @throws IllegalArgumentException if a line or an event exceeds the bound
     */
    public void decode(ByteBuffer in, List<? super SseEvent> out) {
        while (in.hasRemaining()) {
            int from = in.position();
            int at = from;
            while (at < in.limit() && in.get(at) != '\n' && in.get(at) != '\r') {
                at++;
            }
            if (at > from) {
                afterReturn = false;
                take(in, at - from);
            }
            if (at < in.limit()) {
                byte end = in.get();
                if (end == '\n' && afterReturn) {
                    afterReturn = false;
                } else {
                    afterReturn = end == '\r';
                    line(out);
                }
            }
        }
    }

    private void take(ByteBuffer in, int count) {
        if (length + count > most) {
            throw new IllegalArgumentException("a line of an event stream is over " + most + " bytes");
        }
        if (length + count > line.length) {
            line = Arrays.copyOf(line, Math.min(most, Math.max(length + count, line.length * 2)));
        }
        in.get(line, length, count);
        length += count;
    }

    private void line(List<? super SseEvent> out) {
        String text = new String(line, 0, length, StandardCharsets.UTF_8);
        length = 0;
        if (first && !text.isEmpty() && text.charAt(0) == '\uFEFF') {
            text = text.substring(1);
        }
        first = false;
        if (text.isEmpty()) {
            dispatch(out);
            return;
        }
        int colon = text.indexOf(':');
        String field = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(colon + 1);
        if (value.startsWith(" ")) {
            value = value.substring(1);
        }
        switch (field) {
            case "data" -> {
                if (data.length() + value.length() >= most) {
                    throw new IllegalArgumentException("an event is over " + most + " characters");
                }
                data.append(hasData ? "\n" : "").append(value);
                hasData = true;
            }
            case "event" -> type = value;
            case "id" -> id = value.indexOf('\0') < 0 ? value : id;
            default -> { } // comments, retry and what is not known
        }
    }

    private void dispatch(List<? super SseEvent> out) {
        if (hasData) {
            out.add(new SseEvent(id, type.isEmpty() ? "message" : type, data.toString()));
        }
        data.setLength(0);
        hasData = false;
        type = "";
    }
}
