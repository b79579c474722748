package sprucerock.figures;

/** Bytes that outlive a kill of the process. Longs stand at multiples of eight, and are written whole. */
interface Memory {
    long get(int at);

    void put(int at, long value);

    /** Written after all that was put before. */
    void putLast(int at, long value);

    int size();
}
