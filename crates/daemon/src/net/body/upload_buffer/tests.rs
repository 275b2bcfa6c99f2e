use super::*;

#[test]
fn bytes_are_returned_in_order_whatever_the_frames() {
    for frame_bytes in [1, 7, BLOCK_BYTES - 1, BLOCK_BYTES] {
        let memory = UploadMemory::new(8 * BLOCK_BYTES);
        let mut buffer = UploadBuffer::new(memory);
        let body: Vec<u8> = (0..3 * BLOCK_BYTES).map(|n| n as u8).collect();
        for frame in body.chunks(frame_bytes) {
            assert!(buffer.has_space(), "frames of {frame_bytes}");
            buffer.append(Bytes::copy_from_slice(frame));
        }
        let returned: Vec<u8> = std::iter::from_fn(|| buffer.pop()).flatten().collect();
        assert!(returned == body, "frames of {frame_bytes}");
    }
}

/// Many clients that send while their backends read nothing must not exhaust the process's memory.
#[test]
fn buffers_share_a_bounded_memory() {
    let blocks = 10;
    let memory = UploadMemory::new(blocks * BLOCK_BYTES);
    let mut buffers: Vec<_> = (0..4).map(|_| UploadBuffer::new(memory.clone())).collect();
    let frame = Bytes::from(vec![0; BLOCK_BYTES]);
    let fill = |buffers: &mut Vec<UploadBuffer>| {
        let mut appended = 0;
        while let Some(buffer) = buffers.iter_mut().find(|buffer| buffer.has_space()) {
            buffer.append(frame.clone());
            appended += 1;
        }
        appended
    };
    assert_eq!(fill(&mut buffers), blocks);
    // Sent bytes and dropped uploads return their memory.
    assert!(buffers[0].pop().is_some());
    assert_eq!(fill(&mut buffers), 1);
    buffers.clear();
    buffers.push(UploadBuffer::new(memory.clone()));
    assert_eq!(fill(&mut buffers), blocks);
}
